package dewlane.core.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The only way for an item to start: it becomes ready once its source list is empty. A result strikes its item from the
 * source lists of its destinations once; later copies are dropped. A failure passes to all dependants.
 */
public final class DependencyGraph {
    /** What became of an item. */
    public enum Result {
        DONE,
        FAILED
    }

    private static final class Item {
        /** All items that it waits for, and those of them whose result is still to come. */
        final Set<String> allDependencies = new LinkedHashSet<>();

        final Set<String> unsatisfied = new LinkedHashSet<>();
        final Set<String> dependents = new LinkedHashSet<>();
        Result result;
        boolean known;
    }

    private final Map<String, Item> items = new HashMap<>();
    private final Set<String> ready = new LinkedHashSet<>();
    private final Set<String> failed = new LinkedHashSet<>();

    /**
     * Adds an item with the items it waits for, which may be added later. Adding it again changes nothing.
     *
     * @return the items that failed by it: this one and its dependants, if one of its sources has failed
     */
    public List<String> add(String id, Collection<String> sources) {
        Item item = items.computeIfAbsent(id, k -> new Item());
        if (item.known) {
            return List.of();
        }
        item.known = true;
        boolean sourceFailed = false;
        for (String source : sources) {
            Item from = items.computeIfAbsent(source, k -> new Item());
            item.allDependencies.add(source);
            from.dependents.add(id);
            if (from.result == Result.FAILED) {
                sourceFailed = true;
            } else if (from.result == null) {
                item.unsatisfied.add(source);
            }
        }
        if (item.result == Result.FAILED) {
            failed.add(id);
        } else if (sourceFailed) {
            List<String> dependants = new ArrayList<>(List.of(id));
            dependants.addAll(finish(id, Result.FAILED));
            return dependants;
        } else if (item.result == null && item.unsatisfied.isEmpty()) {
            ready.add(id);
        }
        return List.of();
    }

    /**
     * Takes an item's result, of which only the first counts.
     *
     * @return the dependants that failed with it
     */
    public List<String> finish(String id, Result result) {
        List<String> dependants = new ArrayList<>();
        Deque<String> queue = new ArrayDeque<>(List.of(id));
        while (!queue.isEmpty()) {
            String at = queue.poll();
            Item item = items.computeIfAbsent(at, k -> new Item());
            if (item.result != null) {
                continue;
            }
            item.result = result;
            ready.remove(at);
            if (!at.equals(id)) {
                dependants.add(at);
            }
            if (result == Result.FAILED) {
                if (item.known) {
                    failed.add(at);
                }
                queue.addAll(item.dependents);
            } else {
                item.dependents.forEach(to -> satisfy(at, to));
            }
        }
        return dependants;
    }

    private void satisfy(String source, String destination) {
        Item item = items.get(destination);
        if (item.unsatisfied.remove(source) && item.unsatisfied.isEmpty() && item.known && item.result == null) {
            ready.add(destination);
        }
    }

    /** Drops an item that is over. Its result is kept for as long as others that are there name it. */
    public void forget(String id) {
        ready.remove(id);
        failed.remove(id);
        Item item = items.get(id);
        if (item == null) {
            return;
        }
        for (String source : item.allDependencies) {
            Item from = items.get(source);
            from.dependents.remove(id);
            dropIfUnused(source, from);
        }
        item.allDependencies.clear();
        item.unsatisfied.clear();
        item.known = false;
        dropIfUnused(id, item);
    }

    private void dropIfUnused(String id, Item item) {
        if (!item.known && item.dependents.isEmpty()) {
            items.remove(id);
        }
    }

    /** Ready items, in the order in which they became ready. */
    public Collection<String> ready() {
        return ready;
    }

    /** Items that failed, by themselves or by one that they wait for, and are not forgotten yet. */
    public Collection<String> failed() {
        return failed;
    }

    /** True if the job has nothing left to wait for. */
    public boolean isReady(String id) {
        return ready.contains(id);
    }

    /** True if the job failed, by itself or by one that it waits for. */
    public boolean hasFailed(String id) {
        return failed.contains(id);
    }

    /** Items that the item still waits for. */
    public Collection<String> dependencies(String id) {
        Item item = items.get(id);
        return item == null ? List.of() : item.unsatisfied;
    }

    /** All items that the item waits for or has waited for. */
    public Collection<String> allDependencies(String id) {
        Item item = items.get(id);
        return item == null ? List.of() : item.allDependencies;
    }

    /** Items that wait for the item, or did. */
    public Collection<String> dependents(String id) {
        Item item = items.get(id);
        return item == null ? List.of() : item.dependents;
    }

    /** True if the item was added and not forgotten. */
    public boolean isKnown(String id) {
        Item item = items.get(id);
        return item != null && item.known;
    }
}
