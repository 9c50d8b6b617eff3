package org.verbenamast.relay.peer;

import java.util.Collection;
import java.util.Objects;

import org.verbenamast.core.keys.KeyEffect;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.rows.BroadcastRows;
import org.verbenamast.core.tenant.CapEffect;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.relay.CapFrames;
import org.verbenamast.wire.relay.RelayFrames;

/** Sends notifications to other nodes. Losing one does no harm: the node learns the same later in another way. */
public final class PeerNotifier {

    private final PeerPool pool;

    /**
     * Creates a notifier.
     *
     * @param pool the connections to other nodes
     */
    public PeerNotifier(PeerPool pool) {
        this.pool = Objects.requireNonNull(pool, "pool");
    }

    /**
     * Sends a report on the load of keys.
     *
     * @param effect the report and its receiver
     */
    public void send(KeyEffect.SendLoadReport effect) {
        send(effect.to().peer(), RelayFrames.heat(effect.report()));
    }

    /**
     * Sends a report to the bank of the tenants' caps, or the bank's answer.
     *
     * @param effect the message and its receiver; effects on requests are ignored
     */
    public void send(CapEffect effect) {
        if (effect instanceof CapEffect.SendReport report) {
            send(report.to().peer(), CapFrames.report(report.report()));
        } else if (effect instanceof CapEffect.SendGrant grant) {
            send(grant.to().peer(), CapFrames.grant(grant.grant()));
        }
    }

    /**
     * Sends rows to all members but this node.
     *
     * @param broadcast the rows
     * @param members the members
     * @param self the address on which this node listens to its peers
     */
    public void send(BroadcastRows broadcast, Collection<Member> members, Address self) {
        RelayFrame frame = RelayFrames.rows(broadcast.rows());
        members.stream()
                .map(Member::peer)
                .distinct()
                .filter(address -> !address.equals(self))
                .forEach(address -> send(address, frame));
    }

    private void send(Address address, RelayFrame frame) {
        pool.acquire(address)
                .whenResult(link -> {
                    link.send(frame);
                    pool.release(address, link);
                })
                .whenException(e -> pool.closeIdle(address));
    }
}
