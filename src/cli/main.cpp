#include <cstdio>

int main()
{
    std::puts("cranberryreel " CRANBERRYREEL_VERSION);
    return 0;
}
