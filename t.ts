import { drawLoad } from './packages/bench/src/decisions/load.ts';
import { playLoad } from './packages/bench/src/decisions/world.ts';
import { summarizeOutcomes } from './packages/bench/src/decisions/outcome.ts';
import { scenarios } from './packages/bench/src/decisions/shapes.ts';
for (const s of scenarios) { const t=Date.now(); const o=playLoad(drawLoad(s.load,1),s.fleet); const m=summarizeOutcomes(o); console.log(s.name, Date.now()-t,'ms', 'service',m.service.toFixed(3),'worst',m.worstAccount.toFixed(3),'over',m.mostOvertaken,'lost',m.lostShare.toFixed(3)); for(const q of m.queues) console.log('  ',q.queue,q.jobs,'in',q.inTime.toFixed(2),'late',q.late.toFixed(2),'p50',q.waitP50Ms|0,'p95',q.waitP95Ms,'max',q.waitMostMs,'stops',q.stops); }
