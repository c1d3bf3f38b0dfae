#include <iostream>

int main()
{
    std::cerr << "usage: lovagecourse-standins platform|engine|desk|proxy|load [options]\n";
    return 2;
}
