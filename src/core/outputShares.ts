import { getOrCreate } from "../utils/maps";
import { OutputShare } from "./outputShare";

/** What generations take, by service. */
export class OutputShares {
    private readonly byService = new Map<string, OutputShare>();

    private constructor() {}

    static create(): OutputShares {
        return new OutputShares();
    }

    of(service: string): OutputShare {
        return getOrCreate(this.byService, service, () => OutputShare.create());
    }
}
