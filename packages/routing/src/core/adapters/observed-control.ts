/** Reads from the reports of engines, whoever requests them, which engines are leaving. */
import type { ReplicaEntry } from '../view/index.js';
import { replicaId } from '../view/index.js';
import type { EngineConnection, EngineControl, EngineReport } from './types.js';

/**
 * Wraps the client for engines.
 * @param onLeaving - Called with the incarnation of an engine whose report says that it leaves.
 */
export function observeReports<Control extends EngineControl>(
  control: Control,
  onLeaving: (replica: string) => void,
): Control {
  const observe = async (replica: ReplicaEntry, pending: Promise<EngineReport>): Promise<EngineReport> => {
    const report = await pending;
    // The engine may have restarted since this daemon learnt of it.
    if (report.isLeaving) onLeaving(replicaId(replica.name, report.bornAt ?? replica.bornAt));
    return report;
  };
  const observeConnection = (replica: ReplicaEntry, connection: EngineConnection): EngineConnection => ({
    get isOpen() {
      return connection.isOpen;
    },
    order: (order) => connection.order(order),
    report: () => observe(replica, connection.report()),
    close: () => connection.close(),
  });
  return {
    ...control,
    connect: (replica, onClosed) => observeConnection(replica, control.connect(replica, onClosed)),
    report: (replica) => observe(replica, control.report(replica)),
  };
}
