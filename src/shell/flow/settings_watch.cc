#include "src/shell/flow/settings_watch.h"

#include <utility>

#include "src/config/file_reader.h"

namespace cactuscross {
namespace {

// The file has a few hundred bytes, so reading it once per second is cheap.
constexpr Duration kCheckInterval{1000000};  // 1 s

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
  // An empty or missing file is being replaced; it is not a change.
  if (content.empty() || content == this->text) {
    return false;
  }
  this->text = std::move(content);
  return true;
}

}  // namespace cactuscross
