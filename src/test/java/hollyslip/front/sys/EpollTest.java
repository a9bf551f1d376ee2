package hollyslip.front.sys;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Events of the kernel name the file descriptors that they stand for, on every supported architecture. */
class EpollTest {
  private static final int DESCRIPTORS = 200;
  private static final int FIRST_TAG = 1_000;

  /** Guards against a wrong layout of the kernel's events, by which no client was accepted on arm64. */
  @Test
  @Timeout(20)
  void eachTagComesBackAsGivenWithManyDescriptorsReady() throws IOException {
    Linux.Epoll epoll = new Linux.Epoll();
    int[] descriptors = new int[DESCRIPTORS];
    try {
      for (int i = 0; i < DESCRIPTORS; i++) {
        descriptors[i] = Linux.eventfd();
        epoll.add(descriptors[i], FIRST_TAG + i);
        Linux.signalEventfd(descriptors[i]);
      }
      Set<Integer> expected = IntStream.range(FIRST_TAG, FIRST_TAG + DESCRIPTORS)
          .boxed()
          .collect(Collectors.toCollection(TreeSet::new));
      Set<Integer> seen = new TreeSet<>();
      while (seen.size() < DESCRIPTORS) {
        for (int tag : epoll.await()) {
          assertTrue(expected.contains(tag), "no descriptor has the tag " + tag);
          assertTrue(seen.add(tag), "tag " + tag + " came again after its descriptor was drained");
          Linux.drainEventfd(descriptors[tag - FIRST_TAG]);
        }
      }
      assertEquals(expected, seen);
    } finally {
      Linux.closeAll(descriptors);
      epoll.close();
    }
  }

  /** A machine whose layouts are not known is refused with a message that names it. */
  @Test
  void unknownArchitectureIsRefused() throws IOException {
    assertEquals(new EpollEventLayout(12, 4), EpollEventLayout.of("amd64"));
    assertEquals(new EpollEventLayout(16, 8), EpollEventLayout.of("aarch64"));
    IOException refused = assertThrows(IOException.class, () -> EpollEventLayout.of("riscv64"));
    assertTrue(refused.getMessage().contains("riscv64"), refused.getMessage());
  }
}
