package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** SFTP through the gateway, over its socket and over a pipe. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SftpTest {
  private static final int OPEN = 3, CLOSE = 4, READ = 5, WRITE = 6, OPENDIR = 11, READDIR = 12,
      REALPATH = 16, STAT = 17;
  private static final int EXTENDED = 200, STATUS = 101, HANDLE = 102, DATA = 103, NAME = 104, ATTRS = 105;

  @TempDir
  Path dir;

  /** A minimal SFTP client, with one request at a time. */
  private static final class Client implements AutoCloseable {
    final SocketChannel channel;
    final DataInputStream in;
    int id;

    Client(Path socket) throws IOException {
      channel = SocketChannel.open(UnixDomainSocketAddress.of(socket));
      in = new DataInputStream(Channels.newInputStream(channel));
    }

    static byte[] string(String s) {
      byte[] b = s.getBytes(StandardCharsets.UTF_8);
      return ByteBuffer.allocate(4 + b.length).putInt(b.length).put(b).array();
    }

    void send(byte[] packet) throws IOException {
      ByteBuffer buffer = ByteBuffer.allocate(4 + packet.length).putInt(packet.length).put(packet).flip();
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
    }

    ByteBuffer reply() throws IOException {
      byte[] b = new byte[in.readInt()];
      in.readFully(b);
      return ByteBuffer.wrap(b);
    }

    void initialise() throws IOException {
      send(new byte[]{1, 0, 0, 0, 3});
      ByteBuffer r = reply();
      assertEquals(2, r.get());
      assertEquals(3, r.getInt());
    }

    ByteBuffer request(int type, byte[]... parts) throws IOException {
      int length = 0;
      for (byte[] part : parts) {
        length += part.length;
      }
      ByteBuffer packet = ByteBuffer.allocate(5 + length).put((byte) type).putInt(++id);
      for (byte[] part : parts) {
        packet.put(part);
      }
      send(packet.array());
      return reply();
    }

    /** Checks the type and id of a reply. */
    ByteBuffer expect(int type, ByteBuffer reply) {
      assertEquals(type, reply.get());
      assertEquals(id, reply.getInt());
      return reply;
    }

    int status(ByteBuffer r) {
      return expect(STATUS, r).getInt();
    }

    byte[] handle(ByteBuffer r) {
      expect(HANDLE, r);
      byte[] b = new byte[r.remaining()];
      r.get(b);
      return b;
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }

  private static byte[] u32(int n) {
    return ByteBuffer.allocate(4).putInt(n).array();
  }

  private static byte[] u64(long n) {
    return ByteBuffer.allocate(8).putLong(n).array();
  }

  private static byte[] bytes(byte[] b) {
    return ByteBuffer.allocate(4 + b.length).putInt(b.length).put(b).array();
  }

  @Test
  void volumeIsServedAsFile() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 3)) {
      site.startGateway();
      try (Client c = new Client(dir.resolve("gw-0/sftp.sock"))) {
        c.initialise();
        ByteBuffer real = c.expect(NAME, c.request(REALPATH, Client.string("./a/../stock")));
        assertEquals(1, real.getInt());
        assertEquals(6, real.getInt());
        byte[] folder = c.handle(c.request(OPENDIR, Client.string("/")));
        assertEquals(3, c.expect(NAME, c.request(READDIR, folder)).getInt());
        assertEquals(1, c.status(c.request(READDIR, folder)), "end of directory");
        assertEquals(0, c.status(c.request(CLOSE, folder)));
        ByteBuffer attrs = c.expect(ATTRS, c.request(STAT, Client.string("/stock")));
        attrs.getInt();
        assertEquals(TestDeployment.VOLUME_BYTES, attrs.getLong());
        assertEquals(2, c.status(c.request(STAT, Client.string("/nothing"))));
        byte[] h = c.handle(c.request(OPEN, Client.string("stock"), u32(3), u32(0)));
        byte[] bytes = new byte[100_001];
        new Random(1).nextBytes(bytes);
        assertEquals(0, c.status(c.request(WRITE, h, u64(12_345), bytes(bytes))), "not aligned to blocks");
        ByteBuffer data = c.expect(DATA, c.request(READ, h, u64(12_345), u32(bytes.length)));
        byte[] back = new byte[data.getInt()];
        data.get(back);
        assertArrayEquals(bytes, back);
        assertEquals(0, c.status(c.request(EXTENDED, Client.string("fsync@openssh.com"), h)));
        assertEquals(1, c.status(c.request(READ, h, u64(TestDeployment.VOLUME_BYTES), u32(10))),
            "end of file");
        assertEquals(4, c.status(c.request(WRITE, h, u64(TestDeployment.VOLUME_BYTES - 1),
            bytes(new byte[2]))), "past the end");
        assertEquals(0, c.status(c.request(CLOSE, h)));
        assertEquals(4, c.status(c.request(READ, h, u64(0), u32(1))), "a closed handle");
        byte[] readOnly = c.handle(c.request(OPEN, Client.string("stock"), u32(1), u32(0)));
        assertEquals(3, c.status(c.request(WRITE, readOnly, u64(0), bytes(new byte[1]))));
        assertEquals(8, c.status(c.request(99, new byte[0])));
      }
    }
  }

  @Test
  void silentNodeFailsTheCommandAndRandomPacketsDoNoHarm() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1)) {
      site.deadlineUs = 300_000;
      site.startGateway();
      Path socket = dir.resolve("gw-0/sftp.sock");
      SplittableRandom random = new SplittableRandom(9);
      for (int i = 0; i < 300; i++) {
        try (Client c = new Client(socket)) {
          if (random.nextInt(4) > 0) {
            c.initialise();
          }
          byte[] noise = new byte[random.nextInt(1, 60)];
          random.nextBytes(noise);
          noise[0] = (byte) random.nextInt(22);
          c.send(noise);
        }
      }
      try (Client c = new Client(socket)) {
        c.send(new byte[]{5, 0, 0, 0, 1});
        assertThrows(IOException.class, c::reply, "a packet before INIT ends the session");
      }
      try (Client c = new Client(socket)) {
        c.initialise();
        byte[] h = c.handle(c.request(OPEN, Client.string("stock"), u32(3), u32(0)));
        site.disks.get(0).faults.silent = true;
        assertEquals(4, c.status(c.request(READ, h, u64(0), u32(10))));
        site.disks.get(0).faults.clear();
      }
    }
  }

  @Test
  void commandRelaysPipeToTheGateway() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1)) {
      site.startGateway();
      Process p = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-cp", System.getProperty("java.class.path"), "hollyslip.cli.Main", "sftp-server",
          dir.resolve("gw-0/sftp.sock").toString()).start();
      p.getOutputStream().write(new byte[]{0, 0, 0, 5, 1, 0, 0, 0, 3});
      p.getOutputStream().flush();
      DataInputStream in = new DataInputStream(p.getInputStream());
      assertTrue(in.readInt() > 5);
      assertEquals(2, in.readByte());
      p.getOutputStream().close();
      assertEquals(0, p.waitFor());
    }
  }
}
