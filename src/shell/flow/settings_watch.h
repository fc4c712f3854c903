#ifndef CACTUSCROSS_SRC_SHELL_FLOW_SETTINGS_WATCH_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_SETTINGS_WATCH_H_

// Detects changes of the settings file by periodic checks. The caller can force
// a check, for example after SIGHUP.

#include <string>

#include "cactuscross/types.h"

namespace cactuscross {

class SettingsWatch {
 public:
  explicit SettingsWatch(std::string path);

  // Returns whether the content of the file has changed since the last check.
  // Reads the file at most once per second unless `force` is set.
  bool HasChanged(TimePoint now, bool force);

  const std::string& Path() const { return this->path; }
  // Last content read; empty if the file has never been readable.
  const std::string& Text() const { return this->text; }

 private:
  const std::string path;
  std::string text;
  TimePoint last_check;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_SETTINGS_WATCH_H_
