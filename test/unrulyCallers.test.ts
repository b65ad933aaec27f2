import { testUnrulyCallers } from "./fakes/unrulyCallers";

// Guards against callers who end a process by its memory, its descriptors or a turn without end, and so take the answers of all others. Speed is not checked.
testUnrulyCallers(202, false);
