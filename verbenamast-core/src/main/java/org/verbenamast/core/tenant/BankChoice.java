package org.verbenamast.core.tenant;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;

/** Chooses the bank: the member that a hash of the names puts first, apart from those that have not answered lately. */
final class BankChoice {

    /** Time without an answer after which another member is chosen, in nanoseconds; many round trips. */
    private static final long SILENCE_NANOS = Timing.millisToNanos(700);
    /** Time after which a silent member is asked again whether it answers, in nanoseconds; it doubles each time. */
    private static final long MIN_PROBE_NANOS = Timing.millisToNanos(2_000);
    /** Longest such time, in nanoseconds. */
    private static final long MAX_PROBE_NANOS = Timing.millisToNanos(16_000);

    private static final int HASH_FACTOR = 0x9E3779B1;
    private static final int HASH_SHIFT = 15;

    private final Roster roster;
    private final Map<String, Silent> silent = new HashMap<>();
    private String asked = "";
    private long unansweredSince = Long.MAX_VALUE;

    private record Silent(long probeAt, long nanos, boolean answers) {

        static Silent after(Silent before, boolean answers, long now) {
            long nanos = before == null ? MIN_PROBE_NANOS : Math.min(MAX_PROBE_NANOS, 2 * before.nanos());
            return new Silent(now + nanos, nanos, answers);
        }
    }

    BankChoice(Roster roster) {
        this.roster = Objects.requireNonNull(roster, "roster");
    }

    /** Returns the bank for a report that is sent now. */
    Optional<Member> choose(long now) {
        if (now - unansweredSince > SILENCE_NANOS && unansweredSince != Long.MAX_VALUE) {
            silent.compute(asked, (name, before) -> Silent.after(before, false, now));
            unansweredSince = Long.MAX_VALUE;
        }
        Optional<Member> bank = roster.members().stream()
                .filter(member -> member.state().acceptsRequests() && !silent.containsKey(member.node()))
                .max(Comparator.comparingInt((Member member) -> hash(member.node()))
                        .thenComparing(Member::node));
        String name = bank.map(Member::node).orElse("");
        if (!name.equals(asked)) {
            asked = name;
            unansweredSince = Long.MAX_VALUE;
        }
        unansweredSince = Math.min(unansweredSince, now);
        return bank;
    }

    /** Returns a member that was silent and is to be asked again; it is chosen again only once it has answered. */
    Optional<Member> toProbe(long now) {
        silent.keySet().removeIf(name -> roster.find(name).isEmpty());
        Optional<String> due = silent.entrySet().stream()
                .filter(entry -> entry.getValue().probeAt() <= now)
                .map(Map.Entry::getKey)
                .findFirst();
        due.ifPresent(name -> silent.compute(name, (key, before) -> Silent.after(before, before.answers(), now)));
        return due.flatMap(roster::find);
    }

    /** Returns whether a member that is not chosen answers all the same. */
    boolean answers(String name) {
        return !silent.containsKey(name) || silent.get(name).answers();
    }

    /** Records an answer of a member that has missed a manifest, so that another one is chosen. */
    void onOutdated(String bank, long now) {
        if (bank.equals(asked)) {
            silent.compute(bank, (name, before) -> Silent.after(before, true, now));
            unansweredSince = Long.MAX_VALUE;
        }
    }

    /** Returns whether a member is the bank that was chosen last. */
    boolean isChosen(String name) {
        return name.equals(asked);
    }

    private static int hash(String name) {
        int mixed = name.hashCode() * HASH_FACTOR;
        return mixed ^ mixed >>> HASH_SHIFT;
    }

    /** Records an answer. */
    void onAnswered(String bank) {
        silent.remove(bank);
        if (bank.equals(asked)) {
            unansweredSince = Long.MAX_VALUE;
        }
    }
}
