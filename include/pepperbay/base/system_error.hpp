/// @file
/// @brief Reads errors of the system.
#pragma once

namespace pepperbay {

/// @param aError as errno has it
/// @return whether a connection failed for want of something that this process or its machine has
/// run out of, such as descriptors or ports. Nothing follows from it about the other side.
bool
IsShortage(int aError);

} // namespace pepperbay
