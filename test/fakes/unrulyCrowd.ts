import type { Socket } from "node:net";
import { connect } from "node:net";
import type { UnrulyForm } from "./unrulyForm";

/** Pause of callers that come again. */
const comeAgainMs = 50;

/** Callers that misbehave in one form until they leave. */
export class UnrulyCrowd {
    private readonly sockets = new Set<Socket>();
    private isMisbehaving = true;

    private constructor(private readonly form: UnrulyForm, private readonly address: string) {}

    /** Connects the callers of a form to an IP:PORT address. */
    static create(form: UnrulyForm, address: string): UnrulyCrowd {
        const crowd = new UnrulyCrowd(form, address);
        for (let index = 0; index < form.callers; index++) {
            crowd.open();
        }
        return crowd;
    }

    /** Closes all connections. */
    leave(): void {
        this.isMisbehaving = false;
        this.sockets.forEach(socket => socket.destroy());
    }

    private open(): void {
        const [host, port] = this.address.split(":");
        const socket = connect(Number(port), host);
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("connect", () => this.form.begin(socket));
        socket.once("close", () => {
            this.sockets.delete(socket);
            if (this.form.comesAgain) {
                setTimeout(() => this.isMisbehaving && this.open(), comeAgainMs);
            }
        });
    }
}
