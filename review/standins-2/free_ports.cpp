// Prints as many free TCP ports of 127.0.0.1 as asked for, on one line.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <vector>

int main(int argc, char** argv) {
    const int count = argc > 1 ? std::atoi(argv[1]) : 1;
    std::vector<int> sockets;
    for (int k = 0; k < count; ++k) {
        const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        if (socket_fd < 0 || bind(socket_fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            getsockname(socket_fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
            return 2;
        }
        sockets.push_back(socket_fd);
        std::printf("%s%d", k == 0 ? "" : " ", ntohs(at.sin_port));
    }
    std::printf("\n");
    return 0;
}
