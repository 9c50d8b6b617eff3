package org.verbenamast.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.ownership.ChunkRow;
import org.verbenamast.core.ownership.SliceGrant;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.table.MarkRow;
import org.verbenamast.core.table.Marks;
import org.verbenamast.core.table.TableIndex;
import org.verbenamast.core.table.TableRow;

/**
 * The rows of the table service that a node knows. A row is only ever replaced by a later version.
 *
 * <p>The digest covers all rows but those of ended members that no grant names: each node may forget these in its own
 * time without any other node sending them again.
 */
public final class Directory {

    private final Map<RowKey, Row> rows = new HashMap<>();
    private final Map<MemberId, MemberRow> members = new TreeMap<>();
    private final Map<ServiceName, ServiceSettings> services = new HashMap<>();
    private final TableIndex table = new TableIndex();
    private final Marks marks = new Marks();
    private final Map<MemberId, Integer> grantsOf = new HashMap<>();
    private final Map<ServiceName, List<MemberRow>> active = new HashMap<>();
    private final Map<RowFault, Long> refused = new EnumMap<>(RowFault.class);
    private final RowDigest digest = new RowDigest();
    private List<MemberId> living;
    private long revision;

    /**
     * Makes an empty directory.
     *
     * @param services all services of the fleet
     */
    public Directory(List<ServiceSettings> services) {
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /**
     * Learns a row. A row with a fault is refused and counted.
     *
     * @param row the row
     * @return whether it is later than what was known
     */
    public boolean learn(Row row) {
        Row known = rows.get(row.key());
        Optional<RowFault> fault = faultOf(row, known);
        fault.ifPresent(found -> refused.merge(found, 1L, Long::sum));
        if (fault.isPresent() || known != null && known.version() == row.version()) {
            return false;
        }
        replace(row, known);
        revision++;
        return true;
    }

    private Optional<RowFault> faultOf(Row row, Row known) {
        ServiceSettings service = row.value() instanceof ChunkRow chunk ? services.get(chunk.service()) : null;
        for (RowFault fault : RowFault.values()) {
            if (fault.in(row, known, service)) {
                return Optional.of(fault);
            }
        }
        return Optional.empty();
    }

    private void replace(Row row, Row known) {
        if (known != null && counts(known)) {
            digest.remove(known.key(), known.version());
        }
        rows.put(row.key(), row);
        if (row.value() instanceof MemberRow member) {
            members.put(member.id(), member);
            forgetCached();
        } else if (row.value() instanceof TableRow accepted && row.key().equals(TableRow.KEY)) {
            table.apply(accepted);
        }
        if (counts(row)) {
            digest.add(row.key(), row.version());
        }
        if (row.value() instanceof ChunkRow chunk) {
            chunk.grants().forEach(grant -> named(grant.owner()));
        }
        if (known != null && known.value() instanceof ChunkRow chunk) {
            chunk.grants().forEach(grant -> unnamed(grant.owner()));
        }
    }

    private boolean counts(Row row) {
        return !(row.value() instanceof MemberRow member)
                || !member.status().over()
                || grantsOf.containsKey(member.id());
    }

    private void named(MemberId owner) {
        if (grantsOf.merge(owner, 1, Integer::sum) == 1 && ended(owner)) {
            RowKey key = MemberRow.keyOf(owner);
            digest.add(key, version(key));
        }
    }

    private void unnamed(MemberId owner) {
        int left = grantsOf.merge(owner, -1, Integer::sum);
        if (left > 0) {
            return;
        }
        grantsOf.remove(owner);
        if (ended(owner)) {
            RowKey key = MemberRow.keyOf(owner);
            digest.remove(key, version(key));
        }
    }

    private void forgetCached() {
        active.clear();
        living = null;
    }

    /**
     * Forgets an ended member that no grant names.
     *
     * @param id the member
     * @return whether it is forgotten; otherwise a grant still names it or it has not ended
     */
    boolean forget(MemberId id) {
        if (!ended(id) || grantsOf.containsKey(id)) {
            return false;
        }
        rows.remove(MemberRow.keyOf(id));
        members.remove(id);
        revision++;
        return true;
    }

    /**
     * Returns a number that changes whenever what is known changes.
     *
     * @return the number
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns how many rows were refused.
     *
     * @param fault the fault
     * @return the number since the start
     */
    public long refused(RowFault fault) {
        return refused.getOrDefault(fault, 0L);
    }

    /** Returns the summary of the rows. */
    RowDigest digest() {
        return digest;
    }

    /** Lists the rows in some buckets that the digest covers. */
    List<Row> rowsIn(Collection<Integer> buckets) {
        List<Row> found = new ArrayList<>();
        for (Row row : rows.values()) {
            if (buckets.contains(RowDigest.bucketOf(row.key())) && counts(row)) {
                found.add(row);
            }
        }
        return found;
    }

    /** Lists the members whose incarnations have not ended, in the order of their ids. */
    List<MemberId> living() {
        if (living == null) {
            living = members.values().stream()
                    .filter(member -> !member.status().over())
                    .map(MemberRow::id)
                    .toList();
        }
        return living;
    }

    /**
     * Returns the services of the fleet.
     *
     * @return their settings
     */
    public Collection<ServiceSettings> services() {
        return services.values();
    }

    /**
     * Returns the operators' table in force.
     *
     * @return the weights and limits
     */
    public TableIndex table() {
        return table;
    }

    /**
     * Returns what operators have taken out of service.
     *
     * @return the marks
     */
    public Marks marks() {
        return marks;
    }

    /**
     * Takes an operator's mark, which the table service may not have yet.
     *
     * @param mark the mark
     * @param closesAt the monotonic time at which what it takes out is given nothing more at all, in nanoseconds
     */
    public void mark(MarkRow mark, long closesAt) {
        if (marks.apply(mark, closesAt)) {
            revision++;
        }
    }

    /**
     * Tells how much work a member should take, by the operators' table and marks.
     *
     * @param member the member's row
     * @return the weight, in ten-thousandths of the usual one; 0 where it is to be given no work
     */
    public int weightOf(MemberRow member) {
        return marks.isOut(member) ? 0 : table.weights().of(member);
    }

    /**
     * Finds a row.
     *
     * @param key the key
     * @return the row, or null where none is known
     */
    public Row row(RowKey key) {
        return rows.get(key);
    }

    /**
     * Returns the version that is known of a row.
     *
     * @param key the key
     * @return the version, or 0 where none is known
     */
    public long version(RowKey key) {
        Row row = rows.get(key);
        return row == null ? 0 : row.version();
    }

    /**
     * Returns all rows that are known.
     *
     * @return the rows
     */
    public Collection<Row> rows() {
        return rows.values();
    }

    /**
     * Finds a member.
     *
     * @param id the member
     * @return its row, or null where none is known
     */
    public MemberRow member(MemberId id) {
        return members.get(id);
    }

    /**
     * Returns all members that are known, in the order of their ids.
     *
     * @return the members' rows
     */
    public Collection<MemberRow> members() {
        return members.values();
    }

    /**
     * Lists the members of a service that may be given work, in the order of their ids.
     *
     * @param service the service
     * @return the members' rows
     */
    public List<MemberRow> activeMembers(ServiceName service) {
        return active.computeIfAbsent(service, this::findActive);
    }

    private List<MemberRow> findActive(ServiceName service) {
        return members.values().stream()
                .filter(member ->
                        member.status().takesSlices() && member.service().equals(service))
                .toList();
    }

    /**
     * Finds a chunk.
     *
     * @param service the service's settings
     * @param chunk the chunk's number
     * @return the chunk as it is known; vacant where no row is known
     */
    public ChunkRow chunk(ServiceSettings service, int chunk) {
        Row row = rows.get(ChunkRow.keyOf(service.name(), chunk));
        return row == null ? ChunkRow.vacant(service, chunk) : (ChunkRow) row.value();
    }

    /**
     * Finds who owns a slice.
     *
     * @param slice the slice, of a service that exists
     * @return the grant as it is known
     */
    public SliceGrant grant(SliceId slice) {
        ServiceSettings service = Objects.requireNonNull(services.get(slice.service()), "service");
        int chunk = service.chunkOf(slice.number());
        return chunk(service, chunk).grants().get(slice.number() - chunk * service.chunkSlices());
    }

    /**
     * Lists the grants of all slices of a service.
     *
     * @param service the service's settings
     * @return the grants by slice number
     */
    public List<SliceGrant> grants(ServiceSettings service) {
        List<SliceGrant> grants = new ArrayList<>(service.slices());
        for (int chunk = 0; chunk < service.chunks(); chunk++) {
            grants.addAll(chunk(service, chunk).grants());
        }
        return grants;
    }

    /**
     * Lists the heats of all slices of a service.
     *
     * @param service the service's settings
     * @return how many ordinary slices each slice counts as, by slice number
     */
    public List<Integer> heats(ServiceSettings service) {
        List<Integer> heats = new ArrayList<>(service.slices());
        for (int chunk = 0; chunk < service.chunks(); chunk++) {
            heats.addAll(chunk(service, chunk).heats());
        }
        return heats;
    }

    /**
     * Returns how many grants name a member.
     *
     * @param owner the member
     * @return the number
     */
    public int granted(MemberId owner) {
        return grantsOf.getOrDefault(owner, 0);
    }

    /**
     * Tells whether a member's incarnation is known to have ended.
     *
     * @param id the member
     * @return whether its row says so
     */
    public boolean ended(MemberId id) {
        MemberRow member = members.get(id);
        return member != null && member.status().over();
    }
}
