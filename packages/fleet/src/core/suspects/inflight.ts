/** Which requests of this daemon run on which upstream. */

/** Requests in flight, counted by upstream and fingerprint. */
export class InFlight {
  private readonly byUpstream = new Map<string, Map<string, number>>();

  /** Notes a start. */
  add(fingerprint: string, upstream: string): void {
    let running = this.byUpstream.get(upstream);
    if (running === undefined) {
      running = new Map();
      this.byUpstream.set(upstream, running);
    }
    running.set(fingerprint, (running.get(fingerprint) ?? 0) + 1);
  }

  /** Notes an end; tells whether the request was running. */
  remove(fingerprint: string, upstream: string): boolean {
    const running = this.byUpstream.get(upstream);
    const count = running?.get(fingerprint);
    if (running === undefined || count === undefined) return false;
    if (count > 1) running.set(fingerprint, count - 1);
    else running.delete(fingerprint);
    if (running.size === 0) this.byUpstream.delete(upstream);
    return true;
  }

  /** Removes and lists all requests of an upstream. */
  takeAll(upstream: string): string[] {
    const running = this.byUpstream.get(upstream);
    this.byUpstream.delete(upstream);
    return [...(running?.keys() ?? [])];
  }

  /** Lists the upstreams where a request runs that a test picks. */
  upstreamsOf(isPicked: (fingerprint: string) => boolean): string[] {
    return [...this.byUpstream]
      .filter(([, running]) => [...running.keys()].some(isPicked))
      .map(([name]) => name);
  }
}
