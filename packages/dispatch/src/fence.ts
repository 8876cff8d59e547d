/** Lives of one worker that one owner tells apart; a worker takes seconds to start again. */
const maxLives = 1024;

/**
 * Fencing token of an owner for one life of a worker. It rises with each owner, and with each life
 * that the owner sees of the worker: a new life has no memory of orders that were sent to the one
 * before, and refuses late copies of them from the owner's first call on.
 */
export function computeFence(epoch: number, life: number): number {
  return epoch * maxLives + Math.min(life, maxLives - 1);
}
