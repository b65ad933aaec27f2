// Stand-in for the link between one machine and a runner, as a loopback proxy that can be cut without a sign.
import { connect, createServer } from "node:net";

/** Time after which TCP sends unacknowledged bytes again at first; it doubles from then on. */
const firstRetransmissionMs = 200;

/**
 * Starts a link. While it is cut, new connections come to nothing, and bytes on open ones are held up. TCP delivers held bytes with the first
 * retransmission after the cut, also if their sender has closed the connection meanwhile; if it has reset the connection, they are lost.
 */
export const startLink = async (port, record) => {
    let isCut = false;
    let healedAt = Number.NEGATIVE_INFINITY;
    const onHeal = [];
    const server = createServer({ allowHalfOpen: true }, near => {
        if (isCut) {
            near.on("error", () => undefined);
            near.resume();
            return;
        }
        const far = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        let held = [];
        const forward = write => {
            if (!isCut && held.length === 0) {
                write();
                return;
            }
            if (held.length === 0) {
                const sentAt = performance.now();
                onHeal.push(() => {
                    let at = sentAt;
                    for (let pauseMs = firstRetransmissionMs; at <= performance.now(); pauseMs *= 2) {
                        at += pauseMs;
                    }
                    setTimeout(() => {
                        record("link: held bytes arrive", { afterHealMs: Math.round(performance.now() - healedAt), writes: held.length });
                        held.forEach(late => late());
                        held = [];
                    }, at - performance.now());
                });
            }
            held.push(write);
        };
        near.on("data", data => {
            if (isCut) {
                record("link: bytes held up", { text: data.toString().slice(-100) });
            }
            forward(() => far.write(data));
        });
        near.on("end", () => {
            if (isCut) {
                record("link: the sender closed its connection");
            }
            forward(() => far.end());
        });
        near.on("error", err => {
            if (isCut) {
                record("link: the sender reset its connection, held bytes are lost", { code: err.code });
            }
            held = [];
            far.destroy();
        });
        far.on("data", data => {
            if (!isCut) {
                near.write(data);
            }
        });
        far.on("end", () => near.end());
        far.on("error", () => near.destroy());
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        cut: () => {
            isCut = true;
        },
        heal: () => {
            isCut = false;
            healedAt = performance.now();
            onHeal.splice(0).forEach(start => start());
        },
        healedAt: () => healedAt,
        close: () => server.close(),
    };
};
