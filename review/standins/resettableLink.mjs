// Stand-in for one machine's link to the store, as a loopback proxy whose connections can be reset.
import { connect, createServer } from "node:net";

/** Starts a link to an address. */
export const startResettableLink = async address => {
    const [host, port] = address.split(":");
    const open = new Set();
    const server = createServer(near => {
        const far = connect({ host, port: Number(port) });
        const link = { near, far, lastRequest: "" };
        open.add(link);
        near.on("data", data => {
            link.lastRequest = data.toString("latin1").split("\r\n", 1)[0];
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
        /** Resets the connections whose last request contains a text; returns their number. */
        reset: text => {
            const matching = [...open].filter(({ lastRequest }) => lastRequest.includes(text));
            matching.forEach(({ near }) => near.resetAndDestroy());
            return matching.length;
        },
        close: () => server.close(),
    };
};
