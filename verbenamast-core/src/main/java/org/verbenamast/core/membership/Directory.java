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
 * A node's local copy of the rows of the table service. A row is only ever replaced by a later version.
 *
 * <p>The digest covers all rows except those of ended members that no grant names. Each node can therefore remove such
 * a row at a time of its own choice, and no other node sends it again.
 */
public final class Directory {

    private final Map<RowKey, Row> rows = new HashMap<>();
    private final Map<MemberId, MemberRow> members = new TreeMap<>();
    private final Map<ServiceName, ServiceSettings> services = new HashMap<>();
    private final TableIndex table = new TableIndex();
    private final Marks marks = new Marks();
    private final Map<MemberId, Integer> grantCounts = new HashMap<>();
    private final Map<ServiceName, List<MemberRow>> activeByService = new HashMap<>();
    private final Map<RowFault, Long> refusals = new EnumMap<>(RowFault.class);
    private final RowDigest digest = new RowDigest();
    private List<MemberId> liveMembers;
    private long revision;

    /**
     * Creates an empty directory.
     *
     * @param services the settings of all services of the fleet
     */
    public Directory(List<ServiceSettings> services) {
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /**
     * Applies a row. A row with a {@link RowFault} changes nothing; it is counted under the first fault that matches.
     *
     * @param row the row
     * @return whether the row was applied, that is, has no fault and is later than the known one
     */
    public boolean apply(Row row) {
        Row known = rows.get(row.key());
        Optional<RowFault> fault = faultOf(row, known);
        fault.ifPresent(reason -> refusals.merge(reason, 1L, Long::sum));
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
            if (fault.matches(row, known, service)) {
                return Optional.of(fault);
            }
        }
        return Optional.empty();
    }

    private void replace(Row row, Row known) {
        if (known != null && isDigested(known)) {
            digest.remove(known.key(), known.version());
        }
        rows.put(row.key(), row);
        if (row.value() instanceof MemberRow member) {
            members.put(member.id(), member);
            invalidateCaches();
        } else if (row.value() instanceof TableRow accepted && row.key().equals(TableRow.KEY)) {
            table.apply(accepted);
        }
        if (isDigested(row)) {
            digest.add(row.key(), row.version());
        }
        if (row.value() instanceof ChunkRow chunk) {
            chunk.grants().forEach(grant -> countGrant(grant.owner()));
        }
        if (known != null && known.value() instanceof ChunkRow chunk) {
            chunk.grants().forEach(grant -> uncountGrant(grant.owner()));
        }
    }

    private boolean isDigested(Row row) {
        return !(row.value() instanceof MemberRow member)
                || !member.status().hasEnded()
                || grantCounts.containsKey(member.id());
    }

    private void countGrant(MemberId owner) {
        if (grantCounts.merge(owner, 1, Integer::sum) == 1 && hasEnded(owner)) {
            RowKey key = MemberRow.keyOf(owner);
            digest.add(key, version(key));
        }
    }

    private void uncountGrant(MemberId owner) {
        int left = grantCounts.merge(owner, -1, Integer::sum);
        if (left > 0) {
            return;
        }
        grantCounts.remove(owner);
        if (hasEnded(owner)) {
            RowKey key = MemberRow.keyOf(owner);
            digest.remove(key, version(key));
        }
    }

    private void invalidateCaches() {
        activeByService.clear();
        liveMembers = null;
    }

    /**
     * Removes an ended member that no grant names.
     *
     * @param id the member
     * @return whether it was removed; false if a grant still names it or it has not ended
     */
    boolean removeEnded(MemberId id) {
        if (!hasEnded(id) || grantCounts.containsKey(id)) {
            return false;
        }
        rows.remove(MemberRow.keyOf(id));
        members.remove(id);
        revision++;
        return true;
    }

    /**
     * Returns the revision of this directory, which changes with each row or mark that is applied or removed.
     *
     * @return a number that only grows
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns how many rows were refused because of a fault.
     *
     * @param fault the fault
     * @return the number since the node started
     */
    public long refusals(RowFault fault) {
        return refusals.getOrDefault(fault, 0L);
    }

    /** Returns the digest of the rows, which is updated in place. */
    RowDigest digest() {
        return digest;
    }

    /** Returns the rows in the given buckets, without those that the digest leaves out. */
    List<Row> rowsIn(Collection<Integer> buckets) {
        List<Row> selected = new ArrayList<>();
        for (Row row : rows.values()) {
            if (buckets.contains(RowDigest.bucketOf(row.key())) && isDigested(row)) {
                selected.add(row);
            }
        }
        return selected;
    }

    /** Returns the members whose incarnations have not ended, ordered by id. */
    List<MemberId> liveMembers() {
        if (liveMembers == null) {
            liveMembers = members.values().stream()
                    .filter(member -> !member.status().hasEnded())
                    .map(MemberRow::id)
                    .toList();
        }
        return liveMembers;
    }

    /**
     * Returns the services of the fleet.
     *
     * @return the settings of each service
     */
    public Collection<ServiceSettings> services() {
        return services.values();
    }

    /**
     * Returns the version of the operators' table that is in force on this node.
     *
     * @return the weights and limits
     */
    public TableIndex table() {
        return table;
    }

    /**
     * Returns the operators' marks, which take zones and backend servers out of service.
     *
     * @return the marks that this node knows
     */
    public Marks marks() {
        return marks;
    }

    /**
     * Applies an operator's mark. The table service may not have stored it yet.
     *
     * @param mark the mark
     * @param closesAt the monotonic time in nanoseconds from which the marked zone or server gets no requests at all
     */
    public void applyMark(MarkRow mark, long closesAt) {
        if (marks.apply(mark, closesAt)) {
            revision++;
        }
    }

    /**
     * Returns the routing weight of a member according to the operators' table and marks.
     *
     * @param member the member's row
     * @return the weight in ten-thousandths of the default weight; 0 if the member is to get no work
     */
    public int weightOf(MemberRow member) {
        return marks.isOut(member) ? 0 : table.weights().of(member);
    }

    /**
     * Finds a row.
     *
     * @param key the key
     * @return the row, or null if none is known
     */
    public Row row(RowKey key) {
        return rows.get(key);
    }

    /**
     * Returns the known version of a row.
     *
     * @param key the key
     * @return the version, or 0 if the row is not known
     */
    public long version(RowKey key) {
        Row row = rows.get(key);
        return row == null ? 0 : row.version();
    }

    /**
     * Returns all known rows.
     *
     * @return a view of the rows, in no particular order
     */
    public Collection<Row> rows() {
        return rows.values();
    }

    /**
     * Finds a member.
     *
     * @param id the member
     * @return its row, or null if none is known
     */
    public MemberRow member(MemberId id) {
        return members.get(id);
    }

    /**
     * Returns all known members, ended ones included.
     *
     * @return the members' rows, ordered by id
     */
    public Collection<MemberRow> members() {
        return members.values();
    }

    /**
     * Returns the members of a service that may be given work.
     *
     * @param service the service
     * @return the members' rows, ordered by id
     */
    public List<MemberRow> activeMembers(ServiceName service) {
        return activeByService.computeIfAbsent(service, this::findActive);
    }

    private List<MemberRow> findActive(ServiceName service) {
        return members.values().stream()
                .filter(member ->
                        member.status().acceptsSlices() && member.service().equals(service))
                .toList();
    }

    /**
     * Finds a chunk.
     *
     * @param service the service's settings
     * @param chunk the chunk's number
     * @return the known row, or a vacant chunk if none is known
     */
    public ChunkRow chunk(ServiceSettings service, int chunk) {
        Row row = rows.get(ChunkRow.keyOf(service.name(), chunk));
        return row == null ? ChunkRow.vacant(service, chunk) : (ChunkRow) row.value();
    }

    /**
     * Finds the grant of a slice, which names the slice's owner.
     *
     * @param slice a slice of a service of the fleet
     * @return the known grant
     * @throws NullPointerException if the service is not known
     */
    public SliceGrant grant(SliceId slice) {
        ServiceSettings service = Objects.requireNonNull(services.get(slice.service()), "service");
        int chunk = service.chunkOf(slice.number());
        return chunk(service, chunk).grants().get(slice.number() - chunk * service.chunkSlices());
    }

    /**
     * Returns the grants of all slices of a service.
     *
     * @param service the service's settings
     * @return the grants, indexed by slice number
     */
    public List<SliceGrant> grants(ServiceSettings service) {
        List<SliceGrant> grants = new ArrayList<>(service.slices());
        for (int chunk = 0; chunk < service.chunks(); chunk++) {
            grants.addAll(chunk(service, chunk).grants());
        }
        return grants;
    }

    /**
     * Returns the loads of all slices of a service.
     *
     * @param service the service's settings
     * @return for each slice number, how many slices of ordinary load the slice counts as
     */
    public List<Integer> loads(ServiceSettings service) {
        List<Integer> loads = new ArrayList<>(service.slices());
        for (int chunk = 0; chunk < service.chunks(); chunk++) {
            loads.addAll(chunk(service, chunk).heats());
        }
        return loads;
    }

    /**
     * Returns how many grants name a member.
     *
     * @param owner the member
     * @return the number of grants, one per slice
     */
    public int grantCount(MemberId owner) {
        return grantCounts.getOrDefault(owner, 0);
    }

    /**
     * Returns whether a member's incarnation is known to have ended.
     *
     * @param id the member
     * @return whether its row is known and says so
     */
    public boolean hasEnded(MemberId id) {
        MemberRow member = members.get(id);
        return member != null && member.status().hasEnded();
    }
}
