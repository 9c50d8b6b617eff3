package org.verbenamast.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongToDoubleFunction;

import org.verbenamast.core.chart.Deadlines;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.message.RowVersion;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;

/**
 * Spreads rows among the members by gossip.
 *
 * <p>A member that learns a row tells a few random members its version, once; those that lack it ask for the row.
 * Besides, each member regularly compares a digest of its rows with a random member, and the two exchange what differs.
 */
public final class GossipController {

    private static final int FAN_OUT = 4;
    private static final int MAX_ROWS_PER_MESSAGE = 16;
    private static final int MAX_VERSIONS_PER_MESSAGE = 256;
    private static final long ROUND_MILLIS = 20;
    private static final long REQUEST_MILLIS = 300;
    private static final double MIN_JITTER = 0.75;
    private static final double JITTER_SPAN = 0.5;

    private final CoreSettings settings;
    private final Directory directory;
    private final LongToDoubleFunction rate;
    private final Random random;
    private final PeerSample peers;
    private final Tombstones tombstones;
    private final Set<RowKey> fresh = new LinkedHashSet<>();
    private final Map<RowKey, Long> requestedUntil = new HashMap<>();
    private long nextRound = Deadlines.NOT_ARMED;
    private long nextOffer;
    private long refusedDigests;

    /**
     * Makes a desk.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param rate tells at a monotonic time in nanoseconds how many requests a second this node's slices get
     */
    public GossipController(CoreSettings settings, Directory directory, LongToDoubleFunction rate) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.rate = Objects.requireNonNull(rate, "rate");
        this.random = new Random(settings.seed());
        this.peers = new PeerSample(directory, settings.self(), random);
        this.tombstones = new Tombstones(directory);
    }

    /**
     * Takes a row that the directory has learnt from this node's own write or from another member.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     */
    public void learnt(Row row, long now) {
        requestedUntil.remove(row.key());
        tombstones.learnt(row, now);
        fresh.add(row.key());
        if (nextRound == Deadlines.NOT_ARMED) {
            nextRound = now + Timing.millisToNanos(ROUND_MILLIS);
        }
    }

    /**
     * Takes a row that the directory has learnt from the table service.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     */
    public void found(Row row, long now) {
        requestedUntil.remove(row.key());
        tombstones.learnt(row, now);
    }

    /**
     * Takes a row from another member that the directory did not learn. Where a later one is known, the sender is told.
     *
     * @param from the sender
     * @param row the row
     * @param effects the sink of the effects
     */
    public void refused(MemberId from, Row row, Effects effects) {
        if (row.version() < directory.version(row.key())) {
            send(from, new PeerMessage.RowPush(List.of(directory.row(row.key()))), effects);
        }
    }

    /**
     * Takes a digest. A digest of one number is answered by one of all buckets, and that by the versions in the buckets
     * that differ.
     *
     * @param from the sender
     * @param offer the digest
     * @param effects the sink of the effects
     */
    public void offered(MemberId from, PeerMessage.DigestOffer offer, Effects effects) {
        List<Long> theirs = offer.buckets();
        List<Long> ours = directory.digest().buckets();
        if (theirs.size() == 1) {
            if (theirs.get(0) != directory.digest().total()) {
                send(from, new PeerMessage.DigestOffer(ours), effects);
            }
        } else if (theirs.size() == ours.size()) {
            sendDiffering(from, theirs, ours, effects);
        } else {
            refusedDigests++;
        }
    }

    private void sendDiffering(MemberId to, List<Long> theirs, List<Long> ours, Effects effects) {
        List<Integer> differing = new ArrayList<>();
        for (int bucket = 0; bucket < ours.size(); bucket++) {
            if (!ours.get(bucket).equals(theirs.get(bucket))) {
                differing.add(bucket);
            }
        }
        if (!differing.isEmpty()) {
            List<RowVersion> versions = versionsOf(directory.rowsIn(new HashSet<>(differing)));
            send(to, new PeerMessage.BucketVersions(differing, versions), effects);
        }
    }

    /**
     * Takes the versions that another member knows: sends it what it lacks and asks for what this node lacks.
     *
     * @param from the sender
     * @param message the versions, and the buckets of which they are all
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void compared(MemberId from, PeerMessage.BucketVersions message, long now, Effects effects) {
        Set<RowKey> listed = new HashSet<>();
        Set<Row> newer = new LinkedHashSet<>();
        List<RowKey> older = new ArrayList<>();
        for (RowVersion theirs : message.versions()) {
            listed.add(theirs.key());
            long ours = directory.version(theirs.key());
            if (ours > theirs.version()) {
                newer.add(directory.row(theirs.key()));
            } else if (ours < theirs.version() && mayRequest(theirs.key(), now)) {
                older.add(theirs.key());
            }
        }
        directory.rowsIn(new TreeSet<>(message.buckets())).stream()
                .filter(row -> !listed.contains(row.key()))
                .forEach(newer::add);
        push(from, newer, effects);
        batches(older, MAX_VERSIONS_PER_MESSAGE).forEach(keys -> send(from, new PeerMessage.RowRequest(keys), effects));
    }

    private boolean mayRequest(RowKey key, long now) {
        if (requestedUntil.getOrDefault(key, now) > now) {
            return false;
        }
        requestedUntil.put(key, now + Timing.millisToNanos(REQUEST_MILLIS));
        return true;
    }

    /**
     * Takes a request for rows.
     *
     * @param from the sender
     * @param message the request
     * @param effects the sink of the effects
     */
    public void requested(MemberId from, PeerMessage.RowRequest message, Effects effects) {
        List<Row> known = message.keys().stream()
                .map(directory::row)
                .filter(Objects::nonNull)
                .toList();
        push(from, known, effects);
    }

    private void push(MemberId to, Collection<Row> rows, Effects effects) {
        batches(List.copyOf(rows), MAX_ROWS_PER_MESSAGE)
                .forEach(batch -> send(to, new PeerMessage.RowPush(batch), effects));
    }

    /**
     * Sends what is due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        if (now >= nextRound) {
            nextRound = Deadlines.NOT_ARMED;
            tellFresh(effects);
        }
        if (now >= nextOffer) {
            double jitter = MIN_JITTER + JITTER_SPAN * random.nextDouble();
            nextOffer = now + (long) (Timing.millisToNanos(settings.timing().gossipEveryMillis()) * jitter);
            requestedUntil.values().removeIf(until -> until <= now);
            tombstones.advance(now);
            PeerMessage offer =
                    new PeerMessage.DigestOffer(List.of(directory.digest().total()), rate.applyAsDouble(now));
            peers.pick(1).forEach(peer -> send(peer, offer, effects));
        }
    }

    private void tellFresh(Effects effects) {
        List<Row> rows =
                fresh.stream().map(directory::row).filter(Objects::nonNull).toList();
        fresh.clear();
        for (List<RowVersion> batch : batches(versionsOf(rows), MAX_VERSIONS_PER_MESSAGE)) {
            PeerMessage notice = new PeerMessage.BucketVersions(List.of(), batch);
            peers.pick(FAN_OUT).forEach(peer -> send(peer, notice, effects));
        }
    }

    private static List<RowVersion> versionsOf(List<Row> rows) {
        return rows.stream()
                .map(row -> new RowVersion(row.key(), row.version()))
                .toList();
    }

    private static <T> List<List<T>> batches(List<T> items, int size) {
        List<List<T>> batches = new ArrayList<>();
        for (int from = 0; from < items.size(); from += size) {
            batches.add(items.subList(from, Math.min(items.size(), from + size)));
        }
        return batches;
    }

    private static void send(MemberId to, PeerMessage message, Effects effects) {
        effects.emit(new Effect.SendToPeer(to, message));
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(nextRound, nextOffer);
    }

    /**
     * Returns how many digests were refused since they had another number of buckets.
     *
     * @return the number since the start
     */
    public long refusedDigests() {
        return refusedDigests;
    }
}
