import { requestOf, testUnrulyForms, writeUnread } from "./fakes/unrulyCallers";
import type { UnrulyForm } from "./fakes/unrulyForm";

// Guards against callers who keep a process busy with requests that it does not answer, so that it answers nobody else: it must have come to the end of them soon after.

const hostless = "GET /small/x HTTP/1.1\r\n\r\n";

const descriptors = 4_100;

const forms: readonly UnrulyForm[] = [
    { name: "2,000 requests ahead without Host, 1,500 callers", descriptors, callers: 1_500, begin: writeUnread(hostless.repeat(2_000)) },
    { name: "2,000 requests ahead, 700 callers that come again", callers: 700, comesAgain: true, begin: writeUnread(requestOf("/small/x", "").repeat(2_000)) },
];

testUnrulyForms(250, forms);
