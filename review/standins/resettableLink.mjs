// Stand-in for one machine's link to the store, as a loopback proxy whose connections can be reset.
import { connect, createServer } from "node:net";

/** Starts a link to an address. */
export const startResettableLink = async address => {
    const [host, port] = address.split(":");
    const open = new Set();
    const server = createServer(near => {
        const far = connect({ host, port: Number(port) });
        const link = { near, far, pendingRequest: "" };
        open.add(link);
        near.on("data", data => {
            link.pendingRequest = data.toString("latin1").split("\r\n", 1)[0];
        });
        far.on("data", () => {
            link.pendingRequest = "";
        });
        near.on("error", () => far.destroy());
        far.on("error", () => near.destroy());
        near.on("close", () => {
            open.delete(link);
            far.destroy();
        });
        far.on("close", () => near.destroy());
        near.pipe(far);
        far.pipe(near);
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        /** Number of connections that are open. */
        size: () => open.size,
        /** Resets the first connection that waits for the answer to a request with a text in its first line; returns whether there was one. */
        reset: text => {
            const waiting = [...open].find(({ pendingRequest }) => pendingRequest.includes(text));
            waiting?.near.resetAndDestroy();
            return waiting !== undefined;
        },
        close: () => server.close(),
    };
};
