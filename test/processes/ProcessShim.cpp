/// \file
/// A library that the soak loads into each process of the system: shifts its
/// wall clock, maps its listeners from the forwarded addresses to its own, and
/// lets its connections come from its own address.
///
/// `SOAK_HOST` is the process's own IPv4 address; forwarded addresses differ
/// from it by `ForwardedOffset` in the third octet. `SOAK_CLOCK` names a file
/// with the shift, an `int64_t` in milliseconds.

#include "test/processes/SiteAddresses.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

constexpr std::int64_t MillisPerSecond = 1000;
constexpr std::int64_t NanosPerMilli = 1000000;
constexpr std::int64_t NanosPerSecond = 1000000000;
constexpr std::int64_t NanosPerMicro = 1000;

template <typename Function> auto original(const char *Name) -> Function {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, Name));
}

auto mapShift() -> const volatile std::int64_t * {
  static const std::int64_t None = 0;
  const auto *Path = std::getenv("SOAK_CLOCK");
  const auto File = Path == nullptr ? -1 : ::open(Path, O_RDONLY | O_CLOEXEC);
  if (File < 0)
    return &None;
  auto *Mapped =
      ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, File, 0);
  ::close(File);
  return Mapped == MAP_FAILED ? &None : static_cast<std::int64_t *>(Mapped);
}

auto shiftMs() -> std::int64_t {
  static const auto *const Shift = mapShift();
  return *Shift;
}

auto ownAddress() -> in_addr {
  static const auto Own = [] {
    in_addr Address{};
    const auto *Host = std::getenv("SOAK_HOST");
    if (Host != nullptr)
      ::inet_pton(AF_INET, Host, &Address);
    return Address;
  }();
  return Own;
}

/// The process doesn't outlive the soak that started it, and holds none of its
/// sockets.
__attribute__((constructor)) auto detachFromSoak() -> void {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  constexpr unsigned FirstInherited = 3;
  ::syscall(SYS_close_range, FirstInherited, ~0U, 0U);
}

auto thirdOctet(const in_addr &Address) -> unsigned {
  return ntohl(Address.s_addr) >> 8U & 0xffU;
}

} // namespace

extern "C" {

auto clock_gettime(clockid_t Clock, timespec *Time) noexcept -> int {
  static const auto Next =
      original<int (*)(clockid_t, timespec *)>("clock_gettime");
  const auto Result = Next(Clock, Time);
  const auto Shift = shiftMs();
  if (Result == 0 && Shift != 0 &&
      (Clock == CLOCK_REALTIME || Clock == CLOCK_REALTIME_COARSE)) {
    const auto Nanos = Time->tv_nsec + Shift % MillisPerSecond * NanosPerMilli;
    Time->tv_sec += Shift / MillisPerSecond;
    Time->tv_sec += Nanos < 0 ? -1 : Nanos / NanosPerSecond;
    Time->tv_nsec = Nanos < 0 ? Nanos + NanosPerSecond : Nanos % NanosPerSecond;
  }
  return Result;
}

auto gettimeofday(timeval *Time, void *) noexcept -> int {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  Time->tv_sec = Now.tv_sec;
  Time->tv_usec = Now.tv_nsec / NanosPerMicro;
  return 0;
}

auto time(time_t *Time) noexcept -> time_t {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  if (Time != nullptr)
    *Time = Now.tv_sec;
  return Now.tv_sec;
}

auto bind(int Socket, const sockaddr *Address, socklen_t Size) noexcept -> int {
  static const auto Next =
      original<int (*)(int, const sockaddr *, socklen_t)>("bind");
  if (Address->sa_family != AF_INET || Size < sizeof(sockaddr_in))
    return Next(Socket, Address, Size);
  sockaddr_in Mapped{};
  std::memcpy(&Mapped, Address, sizeof Mapped);
  const auto Own = ownAddress();
  if (Own.s_addr != 0 && thirdOctet(Mapped.sin_addr) ==
                             thirdOctet(Own) + skylark::soak::ForwardedOffset)
    Mapped.sin_addr = Own;
  return Next(Socket, reinterpret_cast<const sockaddr *>(&Mapped),
              sizeof Mapped);
}

auto connect(int Socket, const sockaddr *Address, socklen_t Size) -> int {
  static const auto Next =
      original<int (*)(int, const sockaddr *, socklen_t)>("connect");
  static const auto Bind =
      original<int (*)(int, const sockaddr *, socklen_t)>("bind");
  sockaddr_in Source{};
  socklen_t SourceSize = sizeof Source;
  const auto Own = ownAddress();
  if (Address->sa_family == AF_INET && Own.s_addr != 0 &&
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Source),
                    &SourceSize) == 0 &&
      Source.sin_family == AF_INET && Source.sin_addr.s_addr == 0) {
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &On, sizeof On);
    Source.sin_addr = Own;
    Source.sin_port = 0;
    Bind(Socket, reinterpret_cast<const sockaddr *>(&Source), sizeof Source);
  }
  return Next(Socket, Address, Size);
}

} // extern "C"
