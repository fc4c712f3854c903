#include "src/shell/flow/settings_watch.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace cactuscross {
namespace {

// The file is some hundred bytes long.
constexpr Duration kLookInterval{1000000};

std::string ReadAll(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

SettingsWatch::SettingsWatch(std::string path)
    : path(std::move(path)), text(ReadAll(this->path)) {}

bool SettingsWatch::HasChanged(TimePoint now, bool now_please) {
  if (!now_please && now - this->looked_at < kLookInterval) {
    return false;
  }
  this->looked_at = now;
  std::string read = ReadAll(this->path);
  // An empty file is one that is being written.
  if (read.empty() || read == this->text) {
    return false;
  }
  this->text = std::move(read);
  return true;
}

}  // namespace cactuscross
