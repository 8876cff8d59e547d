/**
 * Incarnations of a worker per epoch that get distinct tokens; a restart takes a worker seconds.
 */
const maxIncarnations = 1024;

/**
 * Computes the fencing token of an owner for one incarnation of a worker. The token rises with each
 * epoch, and with each incarnation that the owner sees: a restarted worker does not remember
 * earlier orders, so it must reject delayed ones from the owner's first call on.
 */
export function computeFencingToken(epoch: number, incarnation: number): number {
  return epoch * maxIncarnations + Math.min(incarnation, maxIncarnations - 1);
}
