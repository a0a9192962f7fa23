/// @file
/// @brief The world of coordinators as a fixture of tests.
#pragma once

#include "coordinator_world.hpp"

#include <gtest/gtest.h>

namespace pepperbay {

class CoordinatorTest
  : public testing::Test
  , protected CoordinatorWorld
{
protected:
  using CoordinatorWorld::Run;

  void SetUp() override { AddPool(); }
};

} // namespace pepperbay
