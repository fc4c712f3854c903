#ifndef CACTUSCROSS_SRC_SHELL_FLOW_SETTINGS_WATCH_H_
#define CACTUSCROSS_SRC_SHELL_FLOW_SETTINGS_WATCH_H_

// Notices that the settings file has changed, with a signal or without.

#include <string>

#include "cactuscross/types.h"

namespace cactuscross {

class SettingsWatch {
 public:
  explicit SettingsWatch(std::string path);

  // Returns whether the file's content differs from the last one seen; looks
  // at most once a second unless `force`.
  bool HasChanged(TimePoint now, bool force);

  const std::string& Path() const { return this->path; }
  // Content that was seen last; empty if the file cannot be read.
  const std::string& Text() const { return this->text; }

 private:
  const std::string path;
  std::string text;
  TimePoint last_check;
};

}  // namespace cactuscross

#endif  // CACTUSCROSS_SRC_SHELL_FLOW_SETTINGS_WATCH_H_
