package org.verbenamast.core.membership;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.RowSink;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.StoreDesk;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;
import org.verbenamast.core.store.TableName;

/** Spreads rows among the members. */
public final class SpreadDesk {

    private static final long SCAN_EVERY_MILLIS = 1_000;

    private final CoreSettings settings;
    private final Directory directory;
    private final StoreDesk store;
    private final RowSink sink;
    private long nextScan;

    /**
     * Makes a desk.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param store the calls to the table service
     * @param sink takes the rows that this desk reads
     */
    public SpreadDesk(CoreSettings settings, Directory directory, StoreDesk store, RowSink sink) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.store = Objects.requireNonNull(store, "store");
        this.sink = Objects.requireNonNull(sink, "sink");
    }

    /**
     * Sends a row that this node wrote to the other members.
     *
     * @param row the row
     * @param effects the sink of the effects
     */
    public void push(Row row, Effects effects) {
        PeerMessage push = new PeerMessage.RowPush(List.of(row));
        for (MemberRow member : directory.members()) {
            if (!member.id().equals(settings.self()) && !member.status().over()) {
                effects.emit(new Effect.SendToPeer(member.id(), push));
            }
        }
    }

    /**
     * Reads the tables where that is due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        if (now < nextScan) {
            return;
        }
        nextScan = now + Timing.nanos(SCAN_EVERY_MILLIS);
        for (TableName table : TableName.values()) {
            if (table.spread()) {
                store.submit(new StoreRequest.ScanTable(table), now, effects, this::scanned);
            }
        }
    }

    private void scanned(StoreReply reply, long now, Effects effects) {
        if (reply instanceof StoreReply.RowsRead read) {
            read.rows().forEach(row -> sink.read(row, now, effects));
        }
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return nextScan;
    }
}
