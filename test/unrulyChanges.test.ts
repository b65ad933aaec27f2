import { chunkedPosts, postOf60Kb, sendAhead } from "./fakes/unrulyBodyForms";
import { testUnrulyForms } from "./fakes/unrulyCallers";
import type { UnrulyForm } from "./fakes/unrulyForm";
import { UnrulyChange } from "./fakes/unrulyForm";

// Guards against misbehaving callers who keep a node from stopping, or who exceed its memory while it stops or gets newer configurations.

const forms: readonly UnrulyForm[] = Object.values(UnrulyChange).flatMap(change => [
    { name: `pipelined bodies of 60 KB by length, 30 callers, ${change}`, change, callers: 30, comesAgain: true, begin: sendAhead(postOf60Kb("small")) },
    { name: `pipelined bodies of 200 chunks of one byte, 60 callers, ${change}`, change, callers: 60, comesAgain: true, begin: sendAhead(chunkedPosts) },
]);

testUnrulyForms(250, forms);
