# The installed Abseil is built without ThreadSanitizer: wraps the calls of its locks by base/thread_sanitizer/AbseilLocks.cpp, which reports them to
# ThreadSanitizer.
find_path(ABSEIL_INCLUDE absl/base/options.h REQUIRED)
file(STRINGS ${ABSEIL_INCLUDE}/absl/base/options.h ABSEIL_NAMESPACE_LINE REGEX "define ABSL_OPTION_INLINE_NAMESPACE_NAME")
string(REGEX REPLACE ".*NAMESPACE_NAME +" "" ABSEIL_NAMESPACE "${ABSEIL_NAMESPACE_LINE}")
string(LENGTH "${ABSEIL_NAMESPACE}" ABSEIL_NAMESPACE_LENGTH)
set(ABSEIL_MANGLED "${ABSEIL_NAMESPACE_LENGTH}${ABSEIL_NAMESPACE}")

target_sources(cranberryreel_base PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/base/thread_sanitizer/AbseilLocks.cpp)
target_compile_definitions(cranberryreel_base PRIVATE ABSEIL_NAMESPACE="${ABSEIL_MANGLED}")
foreach(SYMBOL
    5Mutex4LockEv 5Mutex6UnlockEv 5Mutex10ReaderLockEv 5Mutex12ReaderUnlockEv 5MutexD1Ev
    5Mutex5AwaitERKNS0_9ConditionE 5Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE
    7CondVar4WaitEPNS0_5MutexE 7CondVar15WaitWithTimeoutEPNS0_5MutexENS0_8DurationE)
    target_link_options(cranberryreel_base PUBLIC "LINKER:--wrap=_ZN4absl${ABSEIL_MANGLED}${SYMBOL}")
endforeach()
