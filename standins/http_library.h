/// \file
/// Initialization of the HTTP library.
#pragma once

namespace oriolepick {

/// Initializes the function-local tables of the HTTP library, once in a process. Called before a server starts: the
/// library is built without ThreadSanitizer, which cannot see that later threads read the tables only after they were
/// initialized, and reports a race when the first two requests come at once.
void initializeHttpLibrary();

} // namespace oriolepick
