#define BOOST_TEST_MODULE skylark
#include <boost/test/unit_test.hpp>
