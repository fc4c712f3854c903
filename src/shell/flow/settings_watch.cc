#include "src/shell/flow/settings_watch.h"

#include <utility>

#include "src/config/file_reader.h"

namespace cactuscross {
namespace {

// The file is some hundred bytes long.
constexpr Duration kCheckInterval{1000000};

}  // namespace

SettingsWatch::SettingsWatch(std::string path)
    : path(std::move(path)),
      text(ReadFile(this->path).value_or(std::string())) {}

bool SettingsWatch::HasChanged(TimePoint now, bool force) {
  if (!force && now - this->last_check < kCheckInterval) {
    return false;
  }
  this->last_check = now;
  std::string content = ReadFile(this->path).value_or(std::string());
  // A file that is empty or not there is being written.
  if (content.empty() || content == this->text) {
    return false;
  }
  this->text = std::move(content);
  return true;
}

}  // namespace cactuscross
