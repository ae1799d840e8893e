#include <cstdio>

int main()
{
    std::puts("cranberryreeld " CRANBERRYREEL_VERSION);
    return 0;
}
