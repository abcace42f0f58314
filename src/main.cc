#include "buckthornmux/buckthornmux.h"

int main(int argc, char** argv) {
  return buckthornmux::RunCommandLine(argc, argv);
}
