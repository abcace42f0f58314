#include "buckthornmux/detail/entry/settings_file.h"

#include <fstream>
#include <sstream>

namespace buckthornmux::entry {

Result<HostSettings> ReadSettings(const std::string& path,
                                  const SettingsParser& parse) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorKind::kFileUnreadable, "can't open the settings file",
                path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parse(text.str());
}

}  // namespace buckthornmux::entry
