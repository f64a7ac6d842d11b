// A library that simulates a wrong Unix clock in one process: preloaded, it shifts CLOCK_REALTIME by
// CLOCK_SHIFT seconds, or by the double that the file CLOCK_SHIFT_FILE holds at the time of the call. Other
// clocks, such as the monotonic one, are not changed.
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <cstdlib>

extern "C" int clock_gettime(clockid_t clock, timespec* out) noexcept {
  const long result = ::syscall(SYS_clock_gettime, clock, out);
  if (result != 0 || clock != CLOCK_REALTIME) return static_cast<int>(result);
  static const double fixed_shift = [] {
    const char* text = std::getenv("CLOCK_SHIFT");
    return text == nullptr ? 0 : std::atof(text);
  }();
  static const double* const variable_shift = [] {
    const char* path = std::getenv("CLOCK_SHIFT_FILE");
    const int file = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
    void* at = file < 0 ? MAP_FAILED : ::mmap(nullptr, sizeof(double), PROT_READ, MAP_SHARED, file, 0);
    if (file >= 0) ::close(file);
    return at == MAP_FAILED ? nullptr : static_cast<const double*>(at);
  }();
  const double shift = variable_shift != nullptr ? *variable_shift : fixed_shift;
  const double nanos = static_cast<double>(out->tv_nsec) + shift * 1e9;
  auto total_nanos = static_cast<long long>(nanos);
  const long long nanos_per_second = 1000000000;
  long long carry = total_nanos / nanos_per_second;
  if (total_nanos % nanos_per_second < 0) --carry;
  out->tv_sec += carry;
  out->tv_nsec = static_cast<long>(total_nanos - carry * nanos_per_second);
  return 0;
}
