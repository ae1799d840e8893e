#include <absl/synchronization/mutex.h>

#include <sanitizer/tsan_interface.h>

// Debian's Abseil is built without ThreadSanitizer, which therefore does not see the ordering that its locks establish and reports false races. In builds
// with ThreadSanitizer, the linker redirects every lock call to these wrappers, which annotate it. ABSEIL_NAMESPACE is the mangled inline namespace.

#ifndef ABSEIL_NAMESPACE
#define ABSEIL_NAMESPACE "" // Defined only in builds with ThreadSanitizer; the linter parses this file without it.
#endif

#define REAL(symbol) asm("__real__ZN4absl" ABSEIL_NAMESPACE symbol)
#define WRAP(symbol) asm("__wrap__ZN4absl" ABSEIL_NAMESPACE symbol)

using absl::Duration;

extern "C" {
void realLock(void *mutex) REAL("5Mutex4LockEv");
void realUnlock(void *mutex) REAL("5Mutex6UnlockEv");
void realReaderLock(void *mutex) REAL("5Mutex10ReaderLockEv");
void realReaderUnlock(void *mutex) REAL("5Mutex12ReaderUnlockEv");
void realDestroy(void *mutex) REAL("5MutexD1Ev");
void realAwait(void *mutex, const void *condition) REAL("5Mutex5AwaitERKNS0_9ConditionE");
bool realAwaitWithTimeout(void *mutex, const void *condition, Duration limit) REAL("5Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE");
void realWait(void *variable, void *mutex) REAL("7CondVar4WaitEPNS0_5MutexE");
bool realWaitWithTimeout(void *variable, void *mutex, Duration limit) REAL("7CondVar15WaitWithTimeoutEPNS0_5MutexENS0_8DurationE");

void wrapLock(void *mutex) WRAP("5Mutex4LockEv");
void wrapUnlock(void *mutex) WRAP("5Mutex6UnlockEv");
void wrapReaderLock(void *mutex) WRAP("5Mutex10ReaderLockEv");
void wrapReaderUnlock(void *mutex) WRAP("5Mutex12ReaderUnlockEv");
void wrapDestroy(void *mutex) WRAP("5MutexD1Ev");
void wrapAwait(void *mutex, const void *condition) WRAP("5Mutex5AwaitERKNS0_9ConditionE");
bool wrapAwaitWithTimeout(void *mutex, const void *condition, Duration limit) WRAP("5Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE");
void wrapWait(void *variable, void *mutex) WRAP("7CondVar4WaitEPNS0_5MutexE");
bool wrapWaitWithTimeout(void *variable, void *mutex, Duration limit) WRAP("7CondVar15WaitWithTimeoutEPNS0_5MutexENS0_8DurationE");
}

namespace
{

/// Annotates the acquisition of a mutex by this thread, from construction to destruction.
class LockAnnotation
{
public:
    explicit LockAnnotation(void *lockedMutex, unsigned lockFlags = 0)
        : mutex(lockedMutex)
        , flags(lockFlags)
    {
        __tsan_mutex_pre_lock(this->mutex, this->flags);
    }

    ~LockAnnotation()
    {
        __tsan_mutex_post_lock(this->mutex, this->flags, 0);
    }

    LockAnnotation(const LockAnnotation &) = delete;
    LockAnnotation &operator=(const LockAnnotation &) = delete;

private:
    void *mutex;
    unsigned flags;
};

/// Annotates the release of a mutex by this thread, from construction to destruction.
class UnlockAnnotation
{
public:
    explicit UnlockAnnotation(void *unlockedMutex, unsigned unlockFlags = 0)
        : mutex(unlockedMutex)
        , flags(unlockFlags)
    {
        __tsan_mutex_pre_unlock(this->mutex, this->flags);
    }

    ~UnlockAnnotation()
    {
        __tsan_mutex_post_unlock(this->mutex, this->flags);
    }

    UnlockAnnotation(const UnlockAnnotation &) = delete;
    UnlockAnnotation &operator=(const UnlockAnnotation &) = delete;

private:
    void *mutex;
    unsigned flags;
};

void annotateRelease(void *mutex)
{
    const UnlockAnnotation released(mutex);
}

} // namespace

void wrapLock(void *mutex)
{
    const LockAnnotation locking(mutex);
    realLock(mutex);
}

void wrapUnlock(void *mutex)
{
    const UnlockAnnotation unlocking(mutex);
    realUnlock(mutex);
}

void wrapReaderLock(void *mutex)
{
    const LockAnnotation locking(mutex, __tsan_mutex_read_lock);
    realReaderLock(mutex);
}

void wrapReaderUnlock(void *mutex)
{
    const UnlockAnnotation unlocking(mutex, __tsan_mutex_read_lock);
    realReaderUnlock(mutex);
}

void wrapDestroy(void *mutex)
{
    __tsan_mutex_destroy(mutex, 0);
    realDestroy(mutex);
}

void wrapAwait(void *mutex, const void *condition)
{
    annotateRelease(mutex);
    const LockAnnotation locking(mutex);
    realAwait(mutex, condition);
}

bool wrapAwaitWithTimeout(void *mutex, const void *condition, Duration limit)
{
    annotateRelease(mutex);
    const LockAnnotation locking(mutex);
    return realAwaitWithTimeout(mutex, condition, limit);
}

void wrapWait(void *variable, void *mutex)
{
    annotateRelease(mutex);
    const LockAnnotation locking(mutex);
    realWait(variable, mutex);
}

bool wrapWaitWithTimeout(void *variable, void *mutex, Duration limit)
{
    annotateRelease(mutex);
    const LockAnnotation locking(mutex);
    return realWaitWithTimeout(variable, mutex, limit);
}
