/** Reads from the reports of engines, whoever requests them, which engines are leaving. */
import type { ReplicaEntry } from '../view/index.js';
import { replicaId } from '../view/index.js';
import type { EngineConnection, EngineControl, EngineReport } from './types.js';

/**
 * Wraps the client for engines.
 * @param control - A plain object; its other methods are kept.
 * @param onLeaving - Called with the incarnation of an engine whose report says that it leaves.
 */
export function observeReports<Control extends EngineControl>(
  control: Control,
  onLeaving: (replica: string) => void,
): Control {
  const observe = async (replica: ReplicaEntry, pending: Promise<EngineReport>): Promise<EngineReport> => {
    const report = await pending;
    if (report.isLeaving) onLeaving(reportedId(replica, report));
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

/** Returns the id of the incarnation that a report comes from: the engine may have restarted meanwhile. */
function reportedId({ id, name, bornAt }: ReplicaEntry, report: EngineReport): string {
  const hasRestarted = bornAt !== undefined && report.bornAt !== undefined && report.bornAt > bornAt;
  return hasRestarted ? replicaId(name, report.bornAt) : id;
}
