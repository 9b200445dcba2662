// A library whose initializer takes long, as on a slow machine.
#include <unistd.h>

namespace {

constexpr useconds_t kMicros = 300'000;

struct SlowInitializer {
  SlowInitializer() { usleep(kMicros); }
};

const SlowInitializer kInitializer;

}  // namespace
