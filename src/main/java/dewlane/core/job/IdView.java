package dewlane.core.job;

import java.util.AbstractCollection;
import java.util.Collection;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * A live view of the ids of some jobs in the {@link DependencyGraph}, in the order of the underlying collection. It
 * copies nothing, as a job may have thousands of dependencies.
 */
final class IdView<T> extends AbstractCollection<String> {
    private final Collection<T> elements;
    private final Function<T, GraphNode> node;
    private final Predicate<GraphNode> isIncluded;

    /**
     * Creates a view.
     *
     * @param node returns the node of an element
     * @param isIncluded selects the nodes whose ids are in the view
     */
    IdView(Collection<T> elements, Function<T, GraphNode> node, Predicate<GraphNode> isIncluded) {
        this.elements = elements;
        this.node = node;
        this.isIncluded = isIncluded;
    }

    /** Counts the ids; the time is linear in the number of elements. */
    @Override
    public int size() {
        int count = 0;
        for (T element : elements) {
            count += isIncluded.test(node.apply(element)) ? 1 : 0;
        }
        return count;
    }

    @Override
    public boolean isEmpty() {
        return !iterator().hasNext();
    }

    @Override
    public Iterator<String> iterator() {
        Iterator<T> remaining = elements.iterator();
        return new Iterator<>() {
            private GraphNode next = findNext();

            @Override
            public boolean hasNext() {
                return next != null;
            }

            @Override
            public String next() {
                if (next == null) {
                    throw new NoSuchElementException();
                }
                String id = next.id();
                next = findNext();
                return id;
            }

            private GraphNode findNext() {
                while (remaining.hasNext()) {
                    GraphNode candidate = node.apply(remaining.next());
                    if (isIncluded.test(candidate)) {
                        return candidate;
                    }
                }
                return null;
            }
        };
    }
}
