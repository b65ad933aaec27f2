import type { Customer } from "../types/customer";
import type { ServiceRoute } from "../types/servingConfig";

/** Priority of customers that declare none and of requests without a key: runners rank requests without a priority the same. */
const defaultCustomerPriority = 5;
/** Bound of route priorities beside those of customers: the two are compared as one number, also by pacers of other nodes. */
const maxRoutePriority = 999;
const routePriorities = 1_000;

/** Priority of a request where customers are declared: the customer's is compared before the route's. Lower numbers are served first. */
export const combinedPriorityOf = (customer: Customer | undefined, { priority }: Pick<ServiceRoute, "priority">): number =>
    (customer?.priority ?? defaultCustomerPriority) * routePriorities + Math.min(maxRoutePriority, Math.max(0, priority));
