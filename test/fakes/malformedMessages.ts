import { connect } from "node:net";

const answerTimeoutMs = 500;

/** Messages that no caller, peer or probe sends. */
export const malformedMessages: Readonly<Record<string, string>> = {
    "a target that is no valid URL": "GET // HTTP/1.1\r\nHost: h\r\n\r\n",
    "a target with an invalid port": "GET http://h:99999999/ HTTP/1.1\r\nHost: h\r\n\r\n",
    "an asterisk as target": "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
    "a target with invalid escapes": "POST /exchange?input=%E0%A4%A HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
    "bytes that are no HTTP": "\x16\x03\x01\x02\x00\x01\x00",
    "an invalid content length": "POST /exchange HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
    "two framings": "POST /exchange HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "an invalid chunk size": "POST /exchange HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "a body that is no JSON": "POST /exchange HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: 3\r\n\r\n{{{",
    "a body of another form": "POST /exchange HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\nnull",
    "a deadline and lengths that are no numbers":
        "POST /desk/x HTTP/1.1\r\nHost: shop.example\r\nDeadline-Ms: x\r\nToken-Count: y\r\nModel: /\r\nPrompt-Prefix: :::,,\r\nContent-Length: 0\r\n\r\n",
    "an upgrade": "GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
    "a tunnel": "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
};

/** Sends bytes on a new connection and waits for its end, at most for the timeout. */
export const sendRaw = (port: number, bytes: string): Promise<void> =>
    new Promise(resolve => {
        const socket = connect(port, "127.0.0.1", () => socket.write(bytes, "latin1"));
        socket.setTimeout(answerTimeoutMs, () => socket.destroy());
        socket.resume();
        socket.on("data", () => socket.end());
        socket.on("error", () => undefined);
        socket.on("close", () => resolve());
    });
