#include "app/CommandLine.h"

int main(int argc, char **argv)
{
    return lovagecourse::runCommandLine(argc, argv);
}
