import { unrulyBodyForms } from "./fakes/unrulyBodyForms";
import { testUnrulyForms } from "./fakes/unrulyCallers";

// Guards against bodies that are read ahead of their turn, or read and refused, faster than the runtime gives their memory back.
testUnrulyForms(250, unrulyBodyForms);
