#include "src/shell/flow/settings_watch.h"

#include <utility>

#include "src/config/file_reader.h"

namespace cactuscross {
namespace {

// The file is some hundred bytes long.
constexpr Duration kLookInterval{1000000};

}  // namespace

SettingsWatch::SettingsWatch(std::string path)
    : path(std::move(path)),
      text(ReadFile(this->path).value_or(std::string())) {}

bool SettingsWatch::HasChanged(TimePoint now, bool now_please) {
  if (!now_please && now - this->looked_at < kLookInterval) {
    return false;
  }
  this->looked_at = now;
  std::string read = ReadFile(this->path).value_or(std::string());
  // A file that is empty or not there is being written.
  if (read.empty() || read == this->text) {
    return false;
  }
  this->text = std::move(read);
  return true;
}

}  // namespace cactuscross
