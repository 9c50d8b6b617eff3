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
 * Replicates rows among the members by gossip.
 *
 * <p>A member that applies a new row announces its version once to a few random members; those that lack the row
 * request it. In addition, each member periodically compares a digest of its rows with that of a random member, and the
 * two exchange the rows that differ.
 */
public final class GossipController {

    private static final int FAN_OUT = 4;
    private static final int MAX_ROWS_PER_MESSAGE = 16;
    private static final int MAX_VERSIONS_PER_MESSAGE = 256;
    private static final long ANNOUNCE_DELAY_MILLIS = 20;
    private static final long REQUEST_TIMEOUT_MILLIS = 300;
    private static final double MIN_JITTER_FACTOR = 0.75;
    private static final double JITTER_FACTOR_RANGE = 0.5;

    private final CoreSettings settings;
    private final Directory directory;
    private final LongToDoubleFunction requestRate;
    private final Random random;
    private final PeerSampler peers;
    private final Tombstones tombstones;
    private final Set<RowKey> keysToAnnounce = new LinkedHashSet<>();
    private final Map<RowKey, Long> requestExpiries = new HashMap<>();
    private long nextAnnouncement = Deadlines.NOT_ARMED;
    private long nextDigestOffer;
    private long refusedDigests;

    /**
     * Creates a controller that has nothing to announce.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param requestRate returns the requests per second to this node's slices at a monotonic time in nanoseconds
     */
    public GossipController(CoreSettings settings, Directory directory, LongToDoubleFunction requestRate) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.requestRate = Objects.requireNonNull(requestRate, "requestRate");
        this.random = new Random(settings.seed());
        this.peers = new PeerSampler(directory, settings.self(), random);
        this.tombstones = new Tombstones(directory);
    }

    /**
     * Handles a row that the directory has applied from this node's own write or from another member. Announces it to
     * other members soon.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     */
    public void onRow(Row row, long now) {
        requestExpiries.remove(row.key());
        tombstones.onRow(row, now);
        keysToAnnounce.add(row.key());
        if (nextAnnouncement == Deadlines.NOT_ARMED) {
            nextAnnouncement = now + Timing.millisToNanos(ANNOUNCE_DELAY_MILLIS);
        }
    }

    /**
     * Handles a row that the directory has applied from a read of the table service. Such a row is not announced.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     */
    public void onStoreRow(Row row, long now) {
        requestExpiries.remove(row.key());
        tombstones.onRow(row, now);
    }

    /**
     * Handles a row from another member that the directory did not apply. If a later version is known, sends that back.
     *
     * @param from the sender
     * @param row the row
     * @param effects receives the effects
     */
    public void onRefusedRow(MemberId from, Row row, Effects effects) {
        if (row.version() < directory.version(row.key())) {
            send(from, new PeerMessage.RowPush(List.of(directory.row(row.key()))), effects);
        }
    }

    /**
     * Handles a digest. A digest with one number that differs is answered with the digest of all buckets, and such a
     * digest with the row versions in the buckets that differ.
     *
     * @param from the sender
     * @param offer the sender's digest
     * @param effects receives the effects
     */
    public void onDigestOffer(MemberId from, PeerMessage.DigestOffer offer, Effects effects) {
        List<Long> theirs = offer.buckets();
        List<Long> ours = directory.digest().buckets();
        if (theirs.size() == 1) {
            if (theirs.get(0) != directory.digest().total()) {
                send(from, new PeerMessage.DigestOffer(ours), effects);
            }
        } else if (theirs.size() == ours.size()) {
            sendDifferingVersions(from, theirs, ours, effects);
        } else {
            refusedDigests++;
        }
    }

    private void sendDifferingVersions(MemberId to, List<Long> theirs, List<Long> ours, Effects effects) {
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
     * Handles the versions that another member knows: sends it the rows that it lacks and requests those that this node
     * lacks.
     *
     * @param from the sender
     * @param message the versions, and the buckets for which the list of versions is complete
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onBucketVersions(MemberId from, PeerMessage.BucketVersions message, long now, Effects effects) {
        Set<RowKey> listed = new HashSet<>();
        Set<Row> toPush = new LinkedHashSet<>();
        List<RowKey> toRequest = new ArrayList<>();
        for (RowVersion theirs : message.versions()) {
            listed.add(theirs.key());
            long ours = directory.version(theirs.key());
            if (ours > theirs.version()) {
                toPush.add(directory.row(theirs.key()));
            } else if (ours < theirs.version() && mayRequest(theirs.key(), now)) {
                toRequest.add(theirs.key());
            }
        }
        directory.rowsIn(new TreeSet<>(message.buckets())).stream()
                .filter(row -> !listed.contains(row.key()))
                .forEach(toPush::add);
        push(from, toPush, effects);
        batches(toRequest, MAX_VERSIONS_PER_MESSAGE)
                .forEach(keys -> send(from, new PeerMessage.RowRequest(keys), effects));
    }

    private boolean mayRequest(RowKey key, long now) {
        if (requestExpiries.getOrDefault(key, now) > now) {
            return false;
        }
        requestExpiries.put(key, now + Timing.millisToNanos(REQUEST_TIMEOUT_MILLIS));
        return true;
    }

    /**
     * Handles a request for rows. Keys that are not known are skipped.
     *
     * @param from the sender
     * @param message the request
     * @param effects receives the effects
     */
    public void onRowRequest(MemberId from, PeerMessage.RowRequest message, Effects effects) {
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
     * Sends the announcements and the digest that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        if (now >= nextAnnouncement) {
            nextAnnouncement = Deadlines.NOT_ARMED;
            announceRows(effects);
        }
        if (now >= nextDigestOffer) {
            double jitter = MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * random.nextDouble();
            nextDigestOffer =
                    now + (long) (Timing.millisToNanos(settings.timing().gossipEveryMillis()) * jitter);
            requestExpiries.values().removeIf(expiry -> expiry <= now);
            tombstones.advance(now);
            PeerMessage offer =
                    new PeerMessage.DigestOffer(List.of(directory.digest().total()), requestRate.applyAsDouble(now));
            peers.pick(1).forEach(peer -> send(peer, offer, effects));
        }
    }

    private void announceRows(Effects effects) {
        List<Row> rows = keysToAnnounce.stream()
                .map(directory::row)
                .filter(Objects::nonNull)
                .toList();
        keysToAnnounce.clear();
        for (List<RowVersion> batch : batches(versionsOf(rows), MAX_VERSIONS_PER_MESSAGE)) {
            PeerMessage announcement = new PeerMessage.BucketVersions(List.of(), batch);
            peers.pick(FAN_OUT).forEach(peer -> send(peer, announcement, effects));
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
     * Returns when this controller has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(nextAnnouncement, nextDigestOffer);
    }

    /**
     * Returns how many digests were refused because their number of buckets differed from this node's.
     *
     * @return the number since the node started
     */
    public long refusedDigests() {
        return refusedDigests;
    }
}
