import { artifactKey } from "../types/modelRequest";
import type { PlacementAnswer, PlacementRequest } from "../types/placement";
import { getOrCreate } from "../utils/maps";
import type { Controller } from "./controller";
import { decodePlacementAnswer } from "./peerAnswerDecoder";
import type { PeerClients } from "./peerClients";

/** Answer while no controller can be reached; another node takes over within seconds. */
const noControllerAnswer: PlacementAnswer = { readyInMs: 0, isComing: false, isUncertain: true };

const toMutableRequest = ({ versions, avoid, unreachable, ...rest }: PlacementRequest) => ({
    ...rest,
    versions: versions && { ...versions, excluded: [...versions.excluded] },
    avoid: [...avoid],
    unreachable: [...unreachable],
});

/** Requests models and adapters from the controller. */
export class PlacementClient {
    private readonly pending = new Map<string, Promise<PlacementAnswer>>();

    private constructor(
        private readonly controller: Controller,
        private readonly clients: PeerClients,
        private readonly controllerAddress: () => string | undefined,
        private readonly onFailed: (err: unknown) => void,
    ) {}

    /** Creates a client; the address is undefined while no other node is known to be the controller. */
    static create(
        controller: Controller,
        clients: PeerClients,
        controllerAddress: () => string | undefined,
        onFailed: (err: unknown) => void,
    ): PlacementClient {
        return new PlacementClient(controller, clients, controllerAddress, onFailed);
    }

    /** Requests a model or adapter; concurrent requests for the same one share the answer. */
    place(req: PlacementRequest): Promise<PlacementAnswer> {
        const key = `${req.service} ${artifactKey(req.model, req.adapter)} ${JSON.stringify([req.versions, req.avoid])}`;
        return getOrCreate(this.pending, key, () => this.request(req).finally(() => this.pending.delete(key)));
    }

    private async request(req: PlacementRequest): Promise<PlacementAnswer> {
        if (this.controller.isActive) {
            return this.controller.place(req);
        }
        const address = this.controllerAddress();
        if (address === undefined) {
            return noControllerAnswer;
        }
        try {
            return decodePlacementAnswer(await this.clients.get(address).place.mutate(toMutableRequest(req)));
        }
        catch (err) {
            this.onFailed(err);
            return noControllerAnswer;
        }
    }
}
