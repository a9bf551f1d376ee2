package hollyslip.front.sys;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class MappingTest {
  private static final int PAGE = 4096;

  /** A thread that accesses a ring while another thread closes it must not end the process with a SIGSEGV. */
  @Test
  void viewsStayUsableWhileTheMappingEnds() throws Exception {
    AtomicInteger touches = new AtomicInteger();
    for (int round = 0; round < 100; round++) {
      int fd = Linux.memfd("mapping-test", 16 * PAGE);
      Linux.Mapping mapping = Linux.map(fd, 0, 16 * PAGE);
      Linux.closeAll(fd);
      CountDownLatch busy = new CountDownLatch(3);
      CountDownLatch ended = new CountDownLatch(1);
      List<Thread> users = new ArrayList<>();
      for (int user = 0; user < 3; user++) {
        ByteBuffer view = mapping.view(user * PAGE, 8 * PAGE).slice(PAGE, 4 * PAGE);
        Thread t = new Thread(() -> {
          for (int i = 0; busy.getCount() > 0 || ended.getCount() > 0 || i % 64 != 0; i++) {
            view.putInt(i * 4 % (4 * PAGE), view.getInt(i * 8 % (4 * PAGE)) + 1);
            busy.countDown();
          }
          view.putInt(0, 1);
          touches.incrementAndGet();
        });
        t.start();
        users.add(t);
      }
      busy.await();
      mapping.unmap();
      ended.countDown();
      for (Thread t : users) {
        t.join();
      }
    }
    assertEquals(300, touches.get());
  }

  @Test
  void viewOfAnEndedMappingReadsZerosAndIsDetached() throws Exception {
    int fd = Linux.memfd("mapping-test", PAGE);
    Linux.Mapping first = Linux.map(fd, 0, PAGE);
    Linux.Mapping second = Linux.map(fd, 0, PAGE);
    ByteBuffer view = first.view(0, PAGE);
    view.putInt(8, 7);
    assertEquals(7, second.view(8, 4).getInt(0));
    int mapped = Linux.mappingCount();
    first.unmap();
    first.unmap();
    assertEquals(mapped - 1, Linux.mappingCount());
    assertEquals(0, view.getInt(8));
    view.putInt(8, 9);
    assertEquals(7, second.view(8, 4).getInt(0));
    second.unmap();
    Linux.closeAll(fd);
  }
}
