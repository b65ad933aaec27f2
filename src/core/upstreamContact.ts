import { ContactState } from "../types/contactState";

/** What this node believes of its own path to the upstreams. */
export class UpstreamContact {
    private constructor() {}

    /** Creates the belief of a node that has not used an upstream yet. */
    static create(): UpstreamContact {
        return new UpstreamContact();
    }

    /** Whether upstreams can be reached directly. */
    get state(): ContactState {
        return ContactState.Held;
    }
}
