import { AnswerMemory } from "../core/answerMemory";
import type { Gateway } from "./gateway";

/** Creates the memory of a node for answers that are kept until they are complete. */
export const createAnswerMemory = (gateway: Gateway): AnswerMemory =>
    AnswerMemory.create(
        () => Math.min(gateway.settings.limits.maxHeldAnswerBytes, gateway.memory.answerLimitBytes),
        (holder, bytes) => gateway.memory.charge(holder, bytes),
    );
