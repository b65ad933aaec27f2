// Replaces `node:assert` in the bundles. A failed assertion without a message makes the runtime read and parse the file of the assertion to make one up, which
// took 5.6 s with the whole program in one file; all requests of the process waited. Libraries assert what they expect of bytes from the network.
// eslint-disable-next-line @typescript-eslint/no-require-imports -- Modules that require it call what they get, so it must be a CommonJS module.
const assert = require("assert");

const check = (value, message) => {
    if (!value) {
        throw message instanceof Error ? message : new assert.AssertionError({ message: message ?? "an assertion failed", actual: value, expected: true, operator: "==" });
    }
};

module.exports = Object.assign((value, message) => check(value, message), assert, { ok: check });
