package org.verbenamast.wire.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.AdmissionRequest;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.check.InvalidValueException;
import org.verbenamast.core.entry.EntryRequest;
import org.verbenamast.core.keys.KeyLoadReport;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.RowContent;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoreVersion;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.wire.WireException;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.generated.RelayHeat;
import org.verbenamast.wire.generated.RelayLoad;
import org.verbenamast.wire.generated.RelayNews;
import org.verbenamast.wire.generated.RelayOpen;
import org.verbenamast.wire.generated.RelayRefused;
import org.verbenamast.wire.generated.RelayRow;

/** Frames between nodes that relay requests, to and from the types of the decisions. */
public final class RelayFrames {

    private static final int NO_KEY = -1;

    private RelayFrames() {}

    /**
     * Begins the first frame of an exchange; the caller adds the head of the request.
     *
     * @param request the request
     * @param target the member that is to run it
     * @param lastChance whether no other member is left to ask
     * @param news what the sender knows of the followed tables
     * @param now the monotonic time, in nanoseconds
     * @return the frame's builder
     */
    public static RelayOpen.Builder open(
            EntryRequest request, Member target, boolean lastChance, StoreVersions news, long now) {
        return RelayOpen.newBuilder()
                .setNews(news(news))
                .setAttemptId(request.attemptId())
                .setRoute(request.route().name())
                .setService(request.service())
                .setServerId(target.incarnation().id())
                .setServerBorn(target.incarnation().startedAt())
                .setKind(request.route().kind().ordinal())
                .setPriority(request.route().priority())
                .setDeadlineMillis(millisLeft(request.deadlineAt(), now))
                .setObjectiveMillis(millisLeft(request.objectiveAt(), now))
                .setKey(request.key().orElse(NO_KEY))
                .setLastChance(lastChance);
    }

    private static long millisLeft(long at, long now) {
        return (at - now) / Timing.NANOS_PER_MILLI;
    }

    /**
     * Decodes the first frame of an exchange.
     *
     * @param id the number under which the receiver keeps the request
     * @param open the frame
     * @param now the monotonic time at which it came, in nanoseconds
     * @return the request, or why it can't be one
     */
    public static Either<WireException, AdmissionRequest> request(long id, RelayOpen open, long now) {
        try {
            return Either.right(decode(id, open, now));
        } catch (InvalidValueException | IndexOutOfBoundsException e) {
            return Either.left(WireException.shouldHoldValidValues(e));
        }
    }

    private static AdmissionRequest decode(long id, RelayOpen open, long now) {
        return new AdmissionRequest(
                id,
                open.getAttemptId(),
                open.getRoute(),
                open.getService(),
                new ServerIncarnation(open.getServerId(), open.getServerBorn()),
                RequestKind.values()[open.getKind()],
                open.getPriority(),
                open.getKey() == NO_KEY ? OptionalInt.empty() : OptionalInt.of(open.getKey()),
                open.getLastChance(),
                now,
                now + Timing.millisToNanos(open.getObjectiveMillis()),
                now + Timing.millisToNanos(open.getDeadlineMillis()));
    }

    /**
     * Encodes a refusal.
     *
     * @param reason why
     * @param retryAfterMillis when room is expected, in milliseconds
     * @param load how busy the server is
     * @param news what the sender knows of the followed tables
     * @return the frame
     */
    public static RelayFrame refused(Refusal reason, long retryAfterMillis, AdmissionLoad load, StoreVersions news) {
        return RelayFrame.newBuilder()
                .setRefused(RelayRefused.newBuilder()
                        .setReason(reason.ordinal())
                        .setRetryAfterMillis(retryAfterMillis)
                        .setLoad(load(load, news)))
                .build();
    }

    /**
     * Decodes why a request was refused.
     *
     * @param refused the frame
     * @return the reason
     */
    public static Refusal reason(RelayRefused refused) {
        return Refusal.values()[refused.getReason()];
    }

    /**
     * Encodes how busy a server is.
     *
     * @param load the load
     * @param news what the sender knows of the followed tables
     * @return the message
     */
    public static RelayLoad load(AdmissionLoad load, StoreVersions news) {
        return RelayLoad.newBuilder()
                .setNews(news(news))
                .setRunning(load.running())
                .setQueued(load.queued())
                .setSlots(load.slots())
                .setServiceMillis(load.serviceMillis())
                .setCold(load.cold())
                .setStopping(load.stopping())
                .build();
    }

    /**
     * Decodes how busy a server is.
     *
     * @param load the message
     * @return the load
     */
    public static AdmissionLoad load(RelayLoad load) {
        return new AdmissionLoad(
                load.getRunning(),
                load.getQueued(),
                load.getSlots(),
                load.getServiceMillis(),
                load.getCold(),
                load.getStopping());
    }

    private static RelayNews news(StoreVersions news) {
        long era = Math.max(
                StoreVersion.ofPacked(news.operatorsVersion()).era(),
                StoreVersion.ofPacked(news.sharedVersion()).era());
        return RelayNews.newBuilder()
                .setOperatorsVersion(numberIn(era, news.operatorsVersion()))
                .setOperatorsAgeMillis(news.operatorsAgeMillis())
                .setSharedVersion(numberIn(era, news.sharedVersion()))
                .setStoreEra(era)
                .build();
    }

    /** Returns the number of a version; 0 if it is of a former era, so that it tells nothing. */
    private static long numberIn(long era, long version) {
        StoreVersion known = StoreVersion.ofPacked(version);
        return known.era() == era ? known.number() : 0;
    }

    /**
     * Decodes what a sender knows of the followed tables.
     *
     * @param news the message
     * @return the news; numbers that no node sends, such as those below 0, tell nothing
     */
    public static StoreVersions news(RelayNews news) {
        long era = news.getStoreEra();
        boolean valid = news.getOperatorsAgeMillis() >= 0
                && StoreVersion.isValid(era, news.getOperatorsVersion())
                && StoreVersion.isValid(era, news.getSharedVersion());
        return valid
                ? new StoreVersions(
                        new StoreVersion(era, news.getOperatorsVersion()).packed(),
                        news.getOperatorsAgeMillis(),
                        new StoreVersion(era, news.getSharedVersion()).packed())
                : StoreVersions.NONE;
    }

    /**
     * Encodes a report of busy keys.
     *
     * @param report the report
     * @return the frame
     */
    public static RelayFrame heat(KeyLoadReport report) {
        return RelayFrame.newBuilder()
                .setHeat(RelayHeat.newBuilder()
                        .setService(report.service())
                        .setServerId(report.incarnation().id())
                        .setServerBorn(report.incarnation().startedAt())
                        .setSlots(report.slots())
                        .setServiceMillis(report.serviceMillis())
                        .setCold(report.cold())
                        .addAllKeys(report.keys()))
                .build();
    }

    /**
     * Decodes a report of busy keys.
     *
     * @param heat the message
     * @return the report
     */
    public static KeyLoadReport heat(RelayHeat heat) {
        return new KeyLoadReport(
                heat.getService(),
                new ServerIncarnation(heat.getServerId(), heat.getServerBorn()),
                heat.getSlots(),
                heat.getServiceMillis(),
                heat.getCold(),
                heat.getKeysList());
    }

    /**
     * Encodes rows that a node has written.
     *
     * @param rows the rows
     * @return the frame
     */
    public static RelayFrame rows(List<StoredRow> rows) {
        org.verbenamast.wire.generated.RelayRows.Builder message =
                org.verbenamast.wire.generated.RelayRows.newBuilder();
        message.setStoreEra(rows.stream()
                .mapToLong(row -> StoreVersion.ofPacked(row.version()).era())
                .max()
                .orElse(0));
        for (StoredRow row : rows) {
            RelayRow.Builder each = RelayRow.newBuilder()
                    .setTable(row.ref().table().label())
                    .setKey(row.ref().key())
                    .setVersion(numberIn(message.getStoreEra(), row.version()))
                    .setGone(row.content().isEmpty());
            row.content().ifPresent(content -> each.setValue(ByteString.copyFrom(RelayRows.encode(content))));
            message.addRows(each);
        }
        return RelayFrame.newBuilder().setRows(message).build();
    }

    /**
     * Decodes rows that another node has written. Leaves out those that are no newer than the known ones, and those
     * that can't be read, which are reported.
     *
     * @param message the message
     * @param known returns the newest version of a row that this node knows
     * @param refused takes the fault of each row that can't be read
     * @return the rows
     */
    public static List<StoredRow> rows(
            org.verbenamast.wire.generated.RelayRows message,
            Function<RowRef, StoredRow> known,
            Consumer<WireException> refused) {
        List<StoredRow> rows = new ArrayList<>();
        for (RelayRow row : message.getRowsList()) {
            RowTable.findByLabel(row.getTable())
                    .map(table -> new RowRef(table, row.getKey()))
                    .ifPresentOrElse(
                            ref -> {
                                if (known.apply(ref).version() < versionOf(message, row)) {
                                    content(ref, row, versionOf(message, row), refused)
                                            .ifPresent(rows::add);
                                }
                            },
                            () -> refused.accept(WireException.shouldBeReadableRow(row.getKey(), "unknown table")));
        }
        return rows;
    }

    /** Returns the version of a row; 0 if its number or era is none, so that it replaces nothing. */
    private static long versionOf(org.verbenamast.wire.generated.RelayRows message, RelayRow row) {
        return StoreVersion.isValid(message.getStoreEra(), row.getVersion())
                ? new StoreVersion(message.getStoreEra(), row.getVersion()).packed()
                : 0;
    }

    private static Optional<StoredRow> content(
            RowRef ref, RelayRow row, long version, Consumer<WireException> refused) {
        if (row.getGone()) {
            return Optional.of(new StoredRow(ref, version, Optional.empty()));
        }
        Either<WireException, RowContent> content =
                RelayRows.decode(ref, row.getValue().toByteArray());
        content.peekLeft(refused);
        return content.toJavaOptional().map(read -> new StoredRow(ref, version, Optional.of(read)));
    }
}
