#include <easylogging++.cc>
